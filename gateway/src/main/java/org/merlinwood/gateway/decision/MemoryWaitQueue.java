package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;

/**
 * Requests of one service that wait for memory, in the order in which they are retried.
 *
 * <p>Requests that can still meet their time-to-first-event target come first, since freed memory is most useful to
 * them; the others follow. Within both groups the oldest request comes first. If waiting requests are ranked,
 * {@link WaitRanking} decides the order instead. Confined to the event loop.
 */
public final class MemoryWaitQueue {

    /** Time from getting memory to the first event, in milliseconds: prefill and transfer of its result. */
    private static final long FIRST_EVENT_MILLIS = 250;

    /** A waiting request and its rank at one moment. */
    private record Ranked(Waiter waiter, WaitRanking.Request rank) {}

    private final MillisClock clock;
    private final boolean ranking;
    private final List<Waiter> waiters = new ArrayList<>();

    /** A waiting request. */
    public interface Waiter {

        /**
         * Returns the time at which the request arrived.
         *
         * @return monotonic time in milliseconds
         */
        long arrivedMillis();

        /**
         * Returns the target for the time from arrival to the first event.
         *
         * @return milliseconds
         */
        long targetMillis();

        /**
         * Tries to place the request at an instance.
         *
         * @return true if the request no longer waits, because it was placed or has ended
         */
        boolean tryNow();

        /**
         * Returns the request as it is ranked.
         *
         * @return empty if waiting requests are not ranked; such a request is never tried by a queue that ranks
         */
        default Optional<WaitRanking.Request> ranked() {
            return Optional.empty();
        }

        /**
         * Ends the request, with a response and a log line, because its step threw. It no longer waits.
         *
         * @param exception what {@link #tryNow} threw
         */
        void onException(RuntimeException exception);
    }

    /**
     * Creates an empty queue.
     *
     * @param clock source of the monotonic time
     */
    public MemoryWaitQueue(MillisClock clock) {
        this(clock, false);
    }

    /**
     * Creates an empty queue.
     *
     * @param clock source of the monotonic time
     * @param ranking whether {@link WaitRanking} decides the order
     */
    public MemoryWaitQueue(MillisClock clock, boolean ranking) {
        this.clock = clock;
        this.ranking = ranking;
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
     * Removes a request. Does nothing if the request is not in the queue.
     *
     * @param waiter the request
     */
    public void remove(Waiter waiter) {
        waiters.remove(waiter);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests
     */
    public int size() {
        return waiters.size();
    }

    /** Tries to place every request, in order, and removes those that no longer wait. */
    public void tryAll() {
        for (Waiter waiter : ranking ? sortedByRank() : sortedByTarget()) {
            if (waiters.contains(waiter) && tryNow(waiter)) {
                waiters.remove(waiter);
            }
        }
    }

    /**
     * Returns the waiting requests as they are ranked.
     *
     * @return requests in no particular order; empty if waiting requests are not ranked
     */
    public List<WaitRanking.Request> ranked() {
        return waiters.stream().flatMap(waiter -> waiter.ranked().stream()).toList();
    }

    /**
     * Returns whether a waiting request ranks before another request.
     *
     * @param request the other request
     * @return true if a new request has to wait behind one that waits already
     */
    public boolean hasBefore(WaitRanking.Request request) {
        Comparator<WaitRanking.Request> order = WaitRanking.order(clock.monotonicMillis());
        return ranked().stream().anyMatch(waiting -> order.compare(waiting, request) < 0);
    }

    private List<Waiter> sortedByTarget() {
        List<Waiter> sorted = new ArrayList<>(waiters);
        sorted.sort(Comparator.comparing(this::missesTarget).thenComparingLong(Waiter::arrivedMillis));
        return sorted;
    }

    private List<Waiter> sortedByRank() {
        Comparator<WaitRanking.Request> order = WaitRanking.order(clock.monotonicMillis());
        List<Ranked> ranked = waiters.stream()
                .flatMap(waiter -> waiter.ranked().map(rank -> new Ranked(waiter, rank)).stream())
                .toList();
        return ranked.stream()
                .sorted(Comparator.comparing(Ranked::rank, order))
                .map(Ranked::waiter)
                .toList();
    }

    /** Tries one request. If its step throws, the request ends, and the others are tried all the same. */
    private static boolean tryNow(Waiter waiter) {
        try {
            return waiter.tryNow();
        } catch (RuntimeException exception) {
            waiter.onException(exception);
            return true;
        }
    }

    private boolean missesTarget(Waiter waiter) {
        return clock.monotonicMillis() + FIRST_EVENT_MILLIS > waiter.arrivedMillis() + waiter.targetMillis();
    }
}
