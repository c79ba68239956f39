package org.merlinwood.replay.fake;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.Grant;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.grant.GrantEvent;
import org.merlinwood.decision.grant.GrantManager;
import org.merlinwood.decision.grant.SessionNumber;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.retry.RetryDelay;

/** Drives the grant book of a sidecar as the sidecar does. Not thread-safe. */
final class GrantDesk implements CapacityDesk {

    private static final long ADVANCE_MICROS = 10_000;
    private static final long GRANT_MILLIS = 5_000;
    private static final SessionNumber SESSION = new SessionNumber(1);

    private final VirtualTime time;
    private final GrantManager book;
    private final Consumer<Ask> whenGiven;
    private final BiConsumer<Ask, LoadObservation> whenDenied;
    private final Map<AttemptIdentity, Ask> asks = new HashMap<>();
    private final Map<Ask, Grant> grants = new HashMap<>();
    private final Map<Ask, AttemptIdentity> attempts = new HashMap<>();
    private long lastRequest;
    private boolean advanceScheduled;
    private boolean closed;

    /**
     * Creates a desk with free capacity.
     *
     * @param time virtual time
     * @param capacityUnits units of capacity
     * @param whenGiven gets requests that may execute
     * @param whenDenied gets requests that were refused
     */
    GrantDesk(
            VirtualTime time, int capacityUnits, Consumer<Ask> whenGiven, BiConsumer<Ask, LoadObservation> whenDenied) {
        this.time = time;
        this.book = new GrantManager(time, new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(capacityUnits)));
        this.whenGiven = whenGiven;
        this.whenDenied = whenDenied;
        book.configure(capacityUnits, GRANT_MILLIS);
    }

    @Override
    public void request(Ask ask, int units) {
        AttemptIdentity attempt = new AttemptIdentity(new RequestIdentifier(0, ++lastRequest), 1);
        asks.put(attempt, ask);
        attempts.put(ask, attempt);
        long waitMillis = TimeUnit.MICROSECONDS.toMillis(Math.max(0, ask.latestStartMicros() - time.nowMicros()));
        tell(book.request(new GrantDemand(SESSION, attempt, units, ask.tokens(), ask.priority(), waitMillis)));
    }

    @Override
    public boolean use(Ask ask) {
        Grant grant = grants.get(ask);
        return grant != null
                && book.use(SESSION, grant.number(), attempts.get(ask)).isRight();
    }

    @Override
    public void release(Ask ask) {
        AttemptIdentity attempt = attempts.remove(ask);
        if (attempt != null) {
            asks.remove(attempt);
            grants.remove(ask);
            tell(book.release(attempt));
        }
    }

    @Override
    public void close() {
        closed = true;
        asks.clear();
    }

    @Override
    public LoadObservation load() {
        return book.load();
    }

    private void tell(List<GrantEvent> events) {
        events.forEach(this::tell);
        scheduleAdvance();
    }

    private void tell(GrantEvent event) {
        Ask ask = asks.get(event.attempt());
        if (ask == null) {
            return;
        }
        switch (event) {
            case GrantEvent.Granted given -> given(ask, given.grant());
            case GrantEvent.Refused denied -> denied(ask);
            case GrantEvent.Waiting waiting -> {}
            case GrantEvent.Cancelled abandoned -> {}
        }
    }

    private void given(Ask ask, Grant grant) {
        grants.put(ask, grant);
        if (ask.isClosed()) {
            release(ask);
        } else {
            whenGiven.accept(ask);
        }
    }

    private void denied(Ask ask) {
        asks.remove(attempts.remove(ask));
        grants.remove(ask);
        whenDenied.accept(ask, book.load());
    }

    private void scheduleAdvance() {
        if (!closed && !advanceScheduled && !book.isIdle()) {
            advanceScheduled = true;
            time.after(ADVANCE_MICROS, () -> {
                advanceScheduled = false;
                tell(book.advance());
            });
        }
    }
}
