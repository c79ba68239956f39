package org.merlinwood.decision.grant.impl;

/**
 * Estimates the wait for capacity from a moving average of recent reservation times. Not thread-safe.
 *
 * <p>With {@code n} units that are reserved for {@code t} milliseconds each, one unit is released every {@code t / n}
 * milliseconds on average.
 */
public final class WaitEstimate {

    private static final double INITIAL_RESERVATION_MILLIS = 500;
    private static final double WEIGHT_PER_UNIT = 0.05;
    private static final double MAXIMUM_WEIGHT = 0.3;

    private boolean hasObservations;
    private double reservationMillis = INITIAL_RESERVATION_MILLIS;

    /** Creates an estimate without observations; it assumes a reservation time of 500 milliseconds. */
    public WaitEstimate() {}

    /**
     * Sets the reservation time that is assumed until the first observation. Ignored afterwards.
     *
     * @param millis assumed reservation time of a unit, in milliseconds
     */
    public void assume(long millis) {
        if (!hasObservations) {
            reservationMillis = millis;
        }
    }

    /**
     * Adds the observation of a reservation that has ended.
     *
     * @param units number of units that were reserved
     * @param observedMillis how long they were reserved, in milliseconds
     * @param capacityUnits total units, positive; the fewer there are, the more weight one unit has
     */
    public void observe(int units, long observedMillis, int capacityUnits) {
        hasObservations = true;
        double shareWeight = MAXIMUM_WEIGHT * units / Math.max(1, capacityUnits);
        double weight = Math.min(MAXIMUM_WEIGHT, Math.max(shareWeight, WEIGHT_PER_UNIT * units));
        reservationMillis += weight * (observedMillis - reservationMillis);
    }

    /**
     * Estimates how long it takes until a number of units are released.
     *
     * @param missingUnits number of units that have to be released; zero or negative if none
     * @param capacityUnits total units, positive
     * @return the expected wait, in milliseconds
     */
    public long waitMillis(long missingUnits, int capacityUnits) {
        if (missingUnits <= 0) {
            return 0;
        }
        return (long) Math.ceil(missingUnits * reservationMillis / capacityUnits);
    }
}
