package org.merlinwood.gateway.follow;

import org.merlinwood.core.time.MillisClock;

/**
 * Says for how long a removed registration may be temporary because of an outage of the store: instances whose
 * registrations expired while the store was away register again once it answers.
 *
 * <p>Confined to the event loop.
 */
final class StoreStability {

    private final MillisClock clock;
    private boolean failing;
    private long settledMillis = Long.MIN_VALUE / 2;

    StoreStability(MillisClock clock) {
        this.clock = clock;
    }

    /** Records that the store did not answer, or answered with an error. */
    void recordFailure() {
        failing = true;
    }

    /** Records that the store has answered. After a failure, this is when it is back at the latest. */
    void recordAnswer() {
        if (failing) {
            failing = false;
            settledMillis = clock.monotonicMillis() + StoreFollower.REMOVAL_DELAY_MILLIS;
        }
    }

    /**
     * Returns how much longer a removal that was read now may be temporary.
     *
     * @return time in milliseconds; 0 if the store was not away, or has been back for long enough
     */
    long removalDelayMillis() {
        return failing ? StoreFollower.REMOVAL_DELAY_MILLIS : Math.max(0, settledMillis - clock.monotonicMillis());
    }
}
