package org.merlinwood.decision.retry;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses times to come back that spread resends, so that callers refused together do not return together. Not
 * thread-safe: used by the entry's control thread only.
 */
public final class RetryDelay {

    /** The shortest time to come back. */
    public static final long MINIMUM_MILLIS = 100;

    /** The longest time to come back. */
    public static final long MAXIMUM_MILLIS = 30_000;

    private static final double SPREAD = 1.5;
    private static final double PRIORITY_STEP = 0.1;

    private final UniformRandomProvider random;

    /**
     * Creates a source of delays.
     *
     * @param random seeded random numbers
     */
    public RetryDelay(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Chooses a time to come back.
     *
     * @param expectedMillis when capacity is expected, in milliseconds from now
     * @param priority priority of the caller's class; a later class comes back later
     * @return milliseconds from now, between {@value #MINIMUM_MILLIS} and {@value #MAXIMUM_MILLIS}
     */
    public long retryAfterMillis(long expectedMillis, int priority) {
        double wanted = Math.max(MINIMUM_MILLIS, expectedMillis) * (1 + PRIORITY_STEP * priority);
        double base = Math.min(wanted, MAXIMUM_MILLIS / (1 + SPREAD));
        return Math.round(base * (1 + SPREAD * random.nextDouble()));
    }
}
