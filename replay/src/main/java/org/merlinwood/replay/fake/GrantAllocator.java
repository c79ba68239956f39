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

/**
 * Allocates capacity with the {@link GrantManager} of the sidecar and calls it as the sidecar does. Not thread-safe.
 */
final class GrantAllocator implements CapacityAllocator {

    private static final long ADVANCE_MICROS = 10_000;
    private static final long GRANT_MILLIS = 5_000;
    private static final SessionNumber SESSION = new SessionNumber(1);

    private final VirtualTime time;
    private final GrantManager grantManager;
    private final Consumer<PendingGrantRequest> grantedHandler;
    private final BiConsumer<PendingGrantRequest, LoadObservation> refusedHandler;
    private final Map<AttemptIdentity, PendingGrantRequest> requests = new HashMap<>();
    private final Map<PendingGrantRequest, Grant> grants = new HashMap<>();
    private final Map<PendingGrantRequest, AttemptIdentity> attempts = new HashMap<>();
    private long lastRequestNumber;
    private boolean advanceScheduled;
    private boolean closed;

    /**
     * Creates an allocator whose capacity is free.
     *
     * @param time virtual time
     * @param capacityUnits number of capacity units
     * @param grantedHandler called with each request whose units have been allocated
     * @param refusedHandler called with each refused request and the load at that time
     */
    GrantAllocator(
            VirtualTime time,
            int capacityUnits,
            Consumer<PendingGrantRequest> grantedHandler,
            BiConsumer<PendingGrantRequest, LoadObservation> refusedHandler) {
        this.time = time;
        this.grantManager =
                new GrantManager(time, new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(capacityUnits)));
        this.grantedHandler = grantedHandler;
        this.refusedHandler = refusedHandler;
        grantManager.configure(capacityUnits, GRANT_MILLIS);
    }

    @Override
    public void request(PendingGrantRequest request, int units) {
        AttemptIdentity attempt = new AttemptIdentity(new RequestIdentifier(0, ++lastRequestNumber), 1);
        requests.put(attempt, request);
        attempts.put(request, attempt);
        long waitMillis = TimeUnit.MICROSECONDS.toMillis(Math.max(0, request.latestStartMicros() - time.nowMicros()));
        notifyListeners(grantManager.request(
                new GrantDemand(SESSION, attempt, units, request.tokens(), request.priority(), waitMillis)));
    }

    @Override
    public boolean use(PendingGrantRequest request) {
        Grant grant = grants.get(request);
        return grant != null
                && grantManager
                        .use(SESSION, grant.number(), attempts.get(request))
                        .isRight();
    }

    @Override
    public void release(PendingGrantRequest request) {
        AttemptIdentity attempt = attempts.remove(request);
        if (attempt != null) {
            requests.remove(attempt);
            grants.remove(request);
            notifyListeners(grantManager.release(attempt));
        }
    }

    @Override
    public void close() {
        closed = true;
        requests.clear();
    }

    @Override
    public LoadObservation load() {
        return grantManager.load();
    }

    private void notifyListeners(List<GrantEvent> events) {
        events.forEach(this::notifyListeners);
        scheduleAdvance();
    }

    private void notifyListeners(GrantEvent event) {
        PendingGrantRequest request = requests.get(event.attempt());
        if (request == null) {
            return;
        }
        switch (event) {
            case GrantEvent.Granted granted -> onGranted(request, granted.grant());
            case GrantEvent.Refused refused -> onRefused(request);
            case GrantEvent.Waiting waiting -> {}
            case GrantEvent.Cancelled cancelled -> {}
        }
    }

    private void onGranted(PendingGrantRequest request, Grant grant) {
        grants.put(request, grant);
        if (request.isClosed()) {
            release(request);
        } else {
            grantedHandler.accept(request);
        }
    }

    private void onRefused(PendingGrantRequest request) {
        requests.remove(attempts.remove(request));
        grants.remove(request);
        refusedHandler.accept(request, grantManager.load());
    }

    private void scheduleAdvance() {
        if (!closed && !advanceScheduled && !grantManager.isIdle()) {
            advanceScheduled = true;
            time.after(ADVANCE_MICROS, () -> {
                advanceScheduled = false;
                notifyListeners(grantManager.advance());
            });
        }
    }
}
