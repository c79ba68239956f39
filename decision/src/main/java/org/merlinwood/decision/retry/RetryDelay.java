package org.merlinwood.decision.retry;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Computes randomized retry-after times, so that callers refused at the same time do not all retry at the same time.
 * Not thread-safe: used by the entry's control thread only.
 */
public final class RetryDelay {

    /** Shortest retry-after time, in milliseconds. */
    public static final long MINIMUM_MILLIS = 100;

    /** Longest retry-after time, in milliseconds. */
    public static final long MAXIMUM_MILLIS = 30_000;

    private static final double JITTER = 1.5;
    private static final double PRIORITY_STEP = 0.1;

    private final UniformRandomProvider random;

    /**
     * Creates a source of retry-after times.
     *
     * @param random source of the jitter
     */
    public RetryDelay(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Returns a retry-after time.
     *
     * @param expectedMillis when capacity is expected, in milliseconds from now
     * @param priority priority of the caller's class; a lower priority, that is a higher number, gets a longer delay
     * @return milliseconds from now, between {@value #MINIMUM_MILLIS} and {@value #MAXIMUM_MILLIS}
     */
    public long retryAfterMillis(long expectedMillis, int priority) {
        double scaledMillis = Math.max(MINIMUM_MILLIS, expectedMillis) * (1 + PRIORITY_STEP * priority);
        double baseMillis = Math.min(scaledMillis, MAXIMUM_MILLIS / (1 + JITTER));
        return Math.round(baseMillis * (1 + JITTER * random.nextDouble()));
    }
}
