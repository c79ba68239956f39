package org.merlinwood.decision.order;

import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.core.time.MillisClock;

/**
 * Paces the orders that load from the weight store, so that all sidecars together stay within its rate without a
 * coordinator. The first order is issued after a random delay. After each refusal the next order waits for the
 * retry-after time of the store plus a random jitter whose range doubles with each refusal, up to 30 s. Not
 * thread-safe: used by the control thread only.
 */
public final class OrderPacing {

    private static final long INITIAL_JITTER_MILLIS = 500;
    private static final long MAXIMUM_JITTER_MILLIS = 30_000;

    private final MillisClock clock;
    private final UniformRandomProvider random;
    private long jitterMillis = INITIAL_JITTER_MILLIS;
    private long notBeforeMillis;

    /**
     * Creates the pacing of one sidecar.
     *
     * @param clock its monotonic time determines when an order is due
     * @param random source of the jitter
     */
    public OrderPacing(MillisClock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
        this.notBeforeMillis = clock.monotonicMillis() + random.nextLong(INITIAL_JITTER_MILLIS);
    }

    /**
     * Returns whether an order may be issued now.
     *
     * @return true once the delay has passed
     */
    public boolean mayOrder() {
        return clock.monotonicMillis() >= notBeforeMillis;
    }

    /** Records that an order was accepted, which resets the jitter range. */
    public void recordAccepted() {
        jitterMillis = INITIAL_JITTER_MILLIS;
    }

    /**
     * Records that the weight store or the engine refused an order temporarily.
     *
     * @param retryAfterMillis requested delay, in milliseconds from now
     */
    public void recordRefused(long retryAfterMillis) {
        notBeforeMillis = clock.monotonicMillis() + Math.max(0, retryAfterMillis) + random.nextLong(jitterMillis);
        jitterMillis = Math.min(MAXIMUM_JITTER_MILLIS, jitterMillis * 2);
    }
}
