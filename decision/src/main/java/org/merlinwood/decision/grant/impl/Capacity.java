package org.merlinwood.decision.grant.impl;

import org.merlinwood.decision.grant.GrantDemand;

/**
 * The units of capacity: how many there are, how many are free, and how long demands wait for them. Not thread-safe.
 */
public final class Capacity {

    private final Reservations reservations;
    private final WaitingQueue queue;
    private final WaitEstimate estimate = new WaitEstimate();
    private int totalUnits;

    /**
     * Creates a capacity of 0 units.
     *
     * @param reservations the current reservations
     * @param queue the demands that wait
     */
    public Capacity(Reservations reservations, WaitingQueue queue) {
        this.reservations = reservations;
        this.queue = queue;
    }

    /**
     * Sets the total number of units.
     *
     * @param units total units; 0 while the capacity is unknown
     */
    public void configure(int units) {
        totalUnits = units;
    }

    /**
     * Sets the reservation time of a unit that is assumed until a reservation has ended. Ignored afterwards.
     *
     * @param millis reservation time, in milliseconds
     */
    public void assumeReservationTime(long millis) {
        estimate.assume(millis);
    }

    /**
     * Returns the total number of units.
     *
     * @return total units; 0 while the capacity is unknown
     */
    public int totalUnits() {
        return totalUnits;
    }

    /**
     * Returns the number of units without a reservation.
     *
     * @return free units; negative if more are reserved than there are, after the capacity was reduced
     */
    public long freeUnits() {
        return totalUnits - reservations.units();
    }

    /**
     * Estimates the wait of a demand behind those in the queue that are served before it.
     *
     * @param demand the demand, queued or not
     * @return expected wait, in milliseconds; 0 for a demand without units
     */
    public long expectedWaitMillis(GrantDemand demand) {
        if (demand.units() == 0) {
            return 0;
        }
        long unitsAhead = queue.sorted().stream()
                .map(WaitingDemand::demand)
                .takeWhile(other -> !other.attempt().equals(demand.attempt()))
                .filter(other -> other.priority() <= demand.priority())
                .mapToLong(GrantDemand::units)
                .sum();
        return estimate.waitMillis(unitsAhead + demand.units() - freeUnits(), totalUnits);
    }

    /**
     * Estimates the wait of a demand behind a number of units.
     *
     * @param unitsAhead units of the demands that are served before it
     * @param demand the demand
     * @return expected wait, in milliseconds; 0 while the capacity is unknown
     */
    public long expectedWaitMillis(long unitsAhead, GrantDemand demand) {
        return totalUnits == 0 ? 0 : estimate.waitMillis(unitsAhead + demand.units() - freeUnits(), totalUnits);
    }

    /**
     * Estimates the wait of a demand of one unit behind the whole queue.
     *
     * @return expected wait, in milliseconds; 0 while the capacity is unknown
     */
    public long expectedWaitBehindQueueMillis() {
        return totalUnits == 0 ? 0 : estimate.waitMillis(queue.units() + 1 - freeUnits(), totalUnits);
    }

    /**
     * Records how long the units of a reservation were reserved. Ignores reservations without units, which say nothing
     * about how long units stay reserved.
     *
     * @param reservation a reservation whose units are released
     * @param nowMillis monotonic time, in milliseconds
     */
    public void observeRelease(Reservation reservation, long nowMillis) {
        int units = reservation.grant().demand().units();
        if (units > 0) {
            estimate.observe(units, nowMillis - reservation.sinceMillis(), totalUnits);
        }
    }
}
