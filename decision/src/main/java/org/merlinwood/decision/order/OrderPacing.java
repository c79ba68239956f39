package org.merlinwood.decision.order;

import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.core.time.MillisClock;

/**
 * Paces orders that need the weight store, so that all sidecars together keep within its rate without a coordinator:
 * the first is given after a random delay, and after each refusal the next waits at least as long as the store said,
 * spread at random over a range that doubles. Not thread-safe: used by the control thread only.
 */
public final class OrderPacing {

    private static final long FIRST_SPREAD_MILLIS = 500;
    private static final long MAXIMUM_SPREAD_MILLIS = 30_000;

    private final MillisClock clock;
    private final UniformRandomProvider random;
    private long spreadMillis = FIRST_SPREAD_MILLIS;
    private long notBeforeMillis;

    /**
     * Creates a pacing.
     *
     * @param clock its monotonic time is compared
     * @param random seeded random numbers
     */
    public OrderPacing(MillisClock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
        this.notBeforeMillis = clock.monotonicMillis() + random.nextLong(FIRST_SPREAD_MILLIS);
    }

    /**
     * Tells whether an order may be given now.
     *
     * @return true if so
     */
    public boolean mayOrder() {
        return clock.monotonicMillis() >= notBeforeMillis;
    }

    /** An order was obeyed. */
    public void recordAccepted() {
        spreadMillis = FIRST_SPREAD_MILLIS;
    }

    /**
     * The weight store or the engine refused an order for now.
     *
     * @param retryAfterMillis how long it said to wait, in milliseconds
     */
    public void recordRefused(long retryAfterMillis) {
        notBeforeMillis = clock.monotonicMillis() + Math.max(0, retryAfterMillis) + random.nextLong(spreadMillis);
        spreadMillis = Math.min(MAXIMUM_SPREAD_MILLIS, spreadMillis * 2);
    }
}
