package org.merlinwood.decision.grant.impl;

/**
 * Predicts waits from how long units of capacity were held lately. Not thread-safe.
 *
 * <p>With {@code n} units that are held for {@code t} milliseconds each, one unit comes free every {@code t / n}
 * milliseconds.
 */
public final class WaitEstimate {

    private static final double INITIAL_HOLD_MILLIS = 500;
    private static final double WEIGHT_OF_ONE_UNIT = 0.05;
    private static final double MAXIMUM_WEIGHT = 0.3;

    private boolean isKnown;
    private double holdMillis = INITIAL_HOLD_MILLIS;

    /**
     * Sets what is assumed until the first hold has ended; ignored afterwards.
     *
     * @param millis how long a unit is taken to be held, in milliseconds
     */
    public void assume(long millis) {
        if (!isKnown) {
            holdMillis = millis;
        }
    }

    /**
     * Learns from a hold that ended.
     *
     * @param units units that were held
     * @param heldMillis how long, in milliseconds
     * @param capacityUnits units in all, positive; one of few tells more than one of many
     */
    public void observe(int units, long heldMillis, int capacityUnits) {
        isKnown = true;
        double shareWeight = MAXIMUM_WEIGHT * units / Math.max(1, capacityUnits);
        double weight = Math.min(MAXIMUM_WEIGHT, Math.max(shareWeight, WEIGHT_OF_ONE_UNIT * units));
        holdMillis += weight * (heldMillis - holdMillis);
    }

    /**
     * Predicts when units will have come free.
     *
     * @param missingUnits units that have to come free; not positive where none has to
     * @param capacityUnits units in all, positive
     * @return the predicted wait, in milliseconds
     */
    public long waitMillis(long missingUnits, int capacityUnits) {
        if (missingUnits <= 0) {
            return 0;
        }
        return (long) Math.ceil(missingUnits * holdMillis / capacityUnits);
    }
}
