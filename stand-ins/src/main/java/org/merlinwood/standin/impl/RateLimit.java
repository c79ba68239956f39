package org.merlinwood.standin.impl;

import org.merlinwood.core.time.MillisClock;

/** Limits and counts requests in fixed windows of one second. Thread-safe. */
public final class RateLimit {

    private static final long WINDOW_MILLIS = 1_000;

    private final MillisClock clock;
    private final long requestsPerSecond;
    private long windowStartMillis;
    private long requestsInWindow;
    private long requests;
    private long refused;
    private long highestRequestsPerSecond;

    /**
     * Creates a limit whose first window starts now.
     *
     * @param clock time source
     * @param requestsPerSecond requests allowed in one second, positive
     */
    public RateLimit(MillisClock clock, long requestsPerSecond) {
        this.clock = clock;
        this.requestsPerSecond = requestsPerSecond;
        this.windowStartMillis = clock.monotonicMillis();
    }

    /**
     * Counts a request.
     *
     * @return true if it is within the limit of the current window
     */
    public synchronized boolean tryAcquire() {
        long now = clock.monotonicMillis();
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = now;
            requestsInWindow = 0;
        }
        requests++;
        requestsInWindow++;
        highestRequestsPerSecond = Math.max(highestRequestsPerSecond, requestsInWindow);
        if (requestsInWindow > requestsPerSecond) {
            refused++;
            return false;
        }
        return true;
    }

    /**
     * Returns the time until the next window starts.
     *
     * @return milliseconds from now, positive
     */
    public synchronized long retryAfterMillis() {
        return Math.max(1, WINDOW_MILLIS - (clock.monotonicMillis() - windowStartMillis));
    }

    /**
     * Returns the request counts since construction.
     *
     * @return a snapshot
     */
    public synchronized RequestCounts counts() {
        return new RequestCounts(requests, refused, highestRequestsPerSecond);
    }
}
