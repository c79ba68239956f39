package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.merlinwood.core.time.MillisClock;

/**
 * This entry's share of the repeats that all entries together may send to a service in any window of time.
 *
 * <p>Used by the event loop alone. The bound of the fleet is a part of the requests of the window and a fixed number
 * besides. Each entry takes the part of its own requests and an equal share of the fixed number, so that the bound
 * holds also where the entries don't hear of each other.
 */
public final class RetryAllowance {

    /** Part of the allowed ratio that is used: requests counted here may be counted in another window by others. */
    private static final double USED_PART = 0.8;

    private final MillisClock clock;
    private final long windowMillis;
    private final double ratio;
    private final double fixed;
    private final IntSupplier entries;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates an allowance.
     *
     * @param clock the time
     * @param windowMillis length of the sliding window, in milliseconds
     * @param ratio repeats for each request, over all entries
     * @param fixed repeats besides, over all entries
     * @param entries returns how many entries there may be at most
     */
    public RetryAllowance(MillisClock clock, long windowMillis, double ratio, double fixed, IntSupplier entries) {
        this.clock = clock;
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.fixed = fixed;
        this.entries = entries;
    }

    /**
     * Counts a request.
     *
     * @param service the service that it is for
     */
    public void recordRequest(String service) {
        window(service).requests.addLast(clock.monotonicMillis());
    }

    /**
     * Takes the right to one repeat.
     *
     * @param service the service that it goes to
     * @return false if the window's repeats are spent; nothing is taken then
     */
    public boolean tryAcquire(String service) {
        Window window = window(service);
        if (window.repeats.size() + 1 > USED_PART * (ratio * window.requests.size() + fixed / entries.getAsInt())) {
            return false;
        }
        window.repeats.addLast(clock.monotonicMillis());
        return true;
    }

    private Window window(String service) {
        Window window = windows.computeIfAbsent(service, ignored -> new Window());
        long oldest = clock.monotonicMillis() - windowMillis;
        dropBefore(window.requests, oldest);
        dropBefore(window.repeats, oldest);
        return window;
    }

    private static void dropBefore(ArrayDeque<Long> times, long oldest) {
        while (!times.isEmpty() && times.peekFirst() < oldest) {
            times.removeFirst();
        }
    }

    private static final class Window {
        private final ArrayDeque<Long> requests = new ArrayDeque<>();
        private final ArrayDeque<Long> repeats = new ArrayDeque<>();
    }
}
