package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.merlinwood.core.time.MillisClock;

/**
 * Requests of one service that wait for memory, in the order in which they are tried.
 *
 * <p>Used by the event loop alone. Those whose first event can still come in time go first, the oldest of them at the
 * head: memory that frees is worth most to them. The others follow, oldest first.
 */
public final class MemoryWaitQueue {

    /** Time from room to the first event, in milliseconds: the prompt is computed and moved. */
    private static final long FIRST_EVENT_MILLIS = 250;

    private final MillisClock clock;
    private final List<Waiter> waiters = new ArrayList<>();

    /** A request that waits. */
    public interface Waiter {

        /**
         * Returns when it arrived.
         *
         * @return monotonic time in milliseconds
         */
        long arrivedMillis();

        /**
         * Returns the time from its arrival within which its first event is in time.
         *
         * @return milliseconds
         */
        long targetMillis();

        /**
         * Tries to place it.
         *
         * @return true if it waits no more
         */
        boolean tryNow();
    }

    /**
     * Creates an empty line.
     *
     * @param clock the time
     */
    public MemoryWaitQueue(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Adds a request.
     *
     * @param waiter the request
     */
    public void add(Waiter waiter) {
        waiters.add(waiter);
    }

    /**
     * Removes a request.
     *
     * @param waiter the request; without effect if it does not wait
     */
    public void remove(Waiter waiter) {
        waiters.remove(waiter);
    }

    /**
     * Returns how many requests wait.
     *
     * @return the count
     */
    public int size() {
        return waiters.size();
    }

    /** Tries every request in order. */
    public void tryAll() {
        List<Waiter> ordered = new ArrayList<>(waiters);
        ordered.sort(Comparator.comparing(this::late).thenComparingLong(Waiter::arrivedMillis));
        for (Waiter waiter : ordered) {
            if (waiters.contains(waiter) && waiter.tryNow()) {
                waiters.remove(waiter);
            }
        }
    }

    private boolean late(Waiter waiter) {
        return clock.monotonicMillis() + FIRST_EVENT_MILLIS > waiter.arrivedMillis() + waiter.targetMillis();
    }
}
