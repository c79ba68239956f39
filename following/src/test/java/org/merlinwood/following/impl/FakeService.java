package org.merlinwood.following.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.merlinwood.core.time.MillisClock;

/** In-memory configuration service in virtual time, with injectable faults. */
final class FakeService implements ConfigurationService {

    private record PendingFetch(
            String document, long afterRevision, CompletableFuture<ConfigurationResponse> response) {}

    private final MillisClock clock;
    private final ControlTimer timer;
    private final Map<String, ConfigurationResponse.Published> published = new HashMap<>();
    private final List<PendingFetch> pendingFetches = new ArrayList<>();
    private ConfigurationResponse fault;
    private int fetchCount;

    FakeService(MillisClock clock, ControlTimer timer) {
        this.clock = clock;
        this.timer = timer;
    }

    void publish(String document, long revision, String text) {
        published.put(document, new ConfigurationResponse.Published(revision, text));
        for (Iterator<PendingFetch> iterator = pendingFetches.iterator(); iterator.hasNext(); ) {
            PendingFetch fetch = iterator.next();
            if (fetch.document().equals(document) && fetch.afterRevision() < revision) {
                iterator.remove();
                fetch.response().complete(published.get(document));
            }
        }
    }

    /** Completes pending and later fetches with this response, until {@link #recover()}. */
    void fail(ConfigurationResponse response) {
        fault = response;
        pendingFetches.forEach(fetch -> fetch.response().complete(response));
        pendingFetches.clear();
    }

    /** Drops pending fetches without a response, as on a half-open connection. */
    void dropPendingFetches() {
        pendingFetches.clear();
    }

    void recover() {
        fault = null;
    }

    int fetchCount() {
        return fetchCount;
    }

    long nowMillis() {
        return clock.monotonicMillis();
    }

    @Override
    public CompletionStage<ConfigurationResponse> fetch(String document, long afterRevision, long waitMillis) {
        fetchCount++;
        ConfigurationResponse.Published latest = published.get(document);
        if (fault != null) {
            return CompletableFuture.completedFuture(fault);
        }
        if (latest != null && latest.revision() > afterRevision) {
            return CompletableFuture.completedFuture(latest);
        }
        PendingFetch fetch = new PendingFetch(document, afterRevision, new CompletableFuture<>());
        pendingFetches.add(fetch);
        timer.schedule(waitMillis, () -> {
            if (pendingFetches.remove(fetch)) {
                fetch.response().complete(new ConfigurationResponse.Unchanged());
            }
        });
        return fetch.response();
    }
}
