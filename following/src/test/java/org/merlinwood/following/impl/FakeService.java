package org.merlinwood.following.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.merlinwood.core.time.MillisClock;

/** A configuration service in memory, in virtual time; down, busy or stale on command. */
final class FakeService implements ConfigurationService {

    private record Waiting(String document, long afterRevision, CompletableFuture<ConfigurationResponse> answer) {}

    private final MillisClock clock;
    private final ControlTimer timer;
    private final Map<String, ConfigurationResponse.Published> published = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private ConfigurationResponse fault;
    private int calls;

    FakeService(MillisClock clock, ControlTimer timer) {
        this.clock = clock;
        this.timer = timer;
    }

    void publish(String document, long revision, String text) {
        published.put(document, new ConfigurationResponse.Published(revision, text));
        for (Iterator<Waiting> iterator = waiting.iterator(); iterator.hasNext(); ) {
            Waiting call = iterator.next();
            if (call.document().equals(document) && call.afterRevision() < revision) {
                iterator.remove();
                call.answer().complete(published.get(document));
            }
        }
    }

    /** All calls get this answer from now on, also those that wait. */
    void fail(ConfigurationResponse answer) {
        fault = answer;
        waiting.forEach(call -> call.answer().complete(answer));
        waiting.clear();
    }

    /** Calls that wait are never answered, as on a connection that was forgotten between the two ends. */
    void loseWaitingCalls() {
        waiting.clear();
    }

    void recover() {
        fault = null;
    }

    int calls() {
        return calls;
    }

    long nowMillis() {
        return clock.monotonicMillis();
    }

    @Override
    public CompletionStage<ConfigurationResponse> fetch(String document, long afterRevision, long waitMillis) {
        calls++;
        ConfigurationResponse.Published known = published.get(document);
        if (fault != null) {
            return CompletableFuture.completedFuture(fault);
        }
        if (known != null && known.revision() > afterRevision) {
            return CompletableFuture.completedFuture(known);
        }
        Waiting call = new Waiting(document, afterRevision, new CompletableFuture<>());
        waiting.add(call);
        timer.schedule(waitMillis, () -> {
            if (waiting.remove(call)) {
                call.answer().complete(new ConfigurationResponse.Unchanged());
            }
        });
        return call.answer();
    }
}
