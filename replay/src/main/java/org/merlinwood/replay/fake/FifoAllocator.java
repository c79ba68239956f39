package org.merlinwood.replay.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.merlinwood.decision.placement.LoadObservation;

/**
 * Allocates capacity in order of arrival. A request waits until its latest start time, then it is refused. Not
 * thread-safe.
 */
final class FifoAllocator implements CapacityAllocator {

    private final VirtualTime time;
    private final int capacityUnits;
    private final Consumer<PendingGrantRequest> grantedHandler;
    private final BiConsumer<PendingGrantRequest, LoadObservation> refusedHandler;
    private final Deque<PendingGrantRequest> waiting = new ArrayDeque<>();
    private final Map<PendingGrantRequest, Integer> requestedUnits = new HashMap<>();
    private final Map<PendingGrantRequest, Integer> grantedUnits = new HashMap<>();
    private int usedUnits;

    FifoAllocator(
            VirtualTime time,
            int capacityUnits,
            Consumer<PendingGrantRequest> grantedHandler,
            BiConsumer<PendingGrantRequest, LoadObservation> refusedHandler) {
        this.time = time;
        this.capacityUnits = capacityUnits;
        this.grantedHandler = grantedHandler;
        this.refusedHandler = refusedHandler;
    }

    @Override
    public void request(PendingGrantRequest request, int units) {
        requestedUnits.put(request, units);
        waiting.add(request);
        time.after(request.latestStartMicros() - time.nowMicros(), () -> expire(request));
        grantWaiting();
    }

    @Override
    public boolean use(PendingGrantRequest request) {
        return grantedUnits.containsKey(request);
    }

    @Override
    public void release(PendingGrantRequest request) {
        Integer units = grantedUnits.remove(request);
        if (units != null) {
            usedUnits -= units;
            grantWaiting();
        }
    }

    @Override
    public void close() {
        waiting.clear();
        grantedUnits.clear();
    }

    @Override
    public LoadObservation load() {
        long tokens = waiting.stream().mapToLong(PendingGrantRequest::tokens).sum();
        tokens += grantedUnits.keySet().stream()
                .mapToLong(PendingGrantRequest::tokens)
                .sum();
        return new LoadObservation(
                capacityUnits - usedUnits, capacityUnits, grantedUnits.size(), waiting.size(), 0, tokens, false);
    }

    private void expire(PendingGrantRequest request) {
        if (waiting.remove(request)) {
            requestedUnits.remove(request);
            refusedHandler.accept(request, load());
        }
    }

    private void grantWaiting() {
        waiting.removeIf(PendingGrantRequest::isClosed);
        while (!waiting.isEmpty() && usedUnits + requestedUnits.get(waiting.peekFirst()) <= capacityUnits) {
            PendingGrantRequest request = waiting.removeFirst();
            int units = requestedUnits.remove(request);
            grantedUnits.put(request, units);
            usedUnits += units;
            grantedHandler.accept(request);
        }
    }
}
