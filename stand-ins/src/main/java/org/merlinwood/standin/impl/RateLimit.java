package org.merlinwood.standin.impl;

import org.merlinwood.core.time.MillisClock;

/** Counts calls against a limit for each second. Thread-safe. */
public final class RateLimit {

    private static final long WINDOW_MILLIS = 1_000;

    private final MillisClock clock;
    private final long callsPerSecond;
    private long windowStartMillis;
    private long callsInWindow;
    private long calls;
    private long refused;
    private long highestCallsPerSecond;

    /**
     * Creates a limit.
     *
     * @param clock the clock
     * @param callsPerSecond calls allowed in a second, positive
     */
    public RateLimit(MillisClock clock, long callsPerSecond) {
        this.clock = clock;
        this.callsPerSecond = callsPerSecond;
        this.windowStartMillis = clock.monotonicMillis();
    }

    /**
     * Counts a call.
     *
     * @return true if it is within the limit
     */
    public synchronized boolean tryCall() {
        long now = clock.monotonicMillis();
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = now;
            callsInWindow = 0;
        }
        calls++;
        callsInWindow++;
        highestCallsPerSecond = Math.max(highestCallsPerSecond, callsInWindow);
        if (callsInWindow > callsPerSecond) {
            refused++;
            return false;
        }
        return true;
    }

    /**
     * Returns when the next call is allowed.
     *
     * @return milliseconds from now, positive
     */
    public synchronized long retryAfterMillis() {
        return Math.max(1, WINDOW_MILLIS - (clock.monotonicMillis() - windowStartMillis));
    }

    /**
     * Returns what was counted.
     *
     * @return the counts since the start
     */
    public synchronized CallCounts counts() {
        return new CallCounts(calls, refused, highestCallsPerSecond);
    }
}
