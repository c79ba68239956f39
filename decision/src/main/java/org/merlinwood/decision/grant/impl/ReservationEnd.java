package org.merlinwood.decision.grant.impl;

import org.merlinwood.core.time.MillisClock;

/** Ends reservations: of grants that can't be used any more, and of attempts that have ended. Not thread-safe. */
public final class ReservationEnd {

    private final MillisClock clock;
    private final Reservations reservations;
    private final IssuedGrants issued;
    private final Capacity capacity;

    /**
     * Creates the end of reservations.
     *
     * @param clock source of the monotonic time
     * @param reservations the current reservations
     * @param issued remembers which grants were invalidated unused
     * @param capacity learns how long units were reserved
     */
    public ReservationEnd(MillisClock clock, Reservations reservations, IssuedGrants issued, Capacity capacity) {
        this.clock = clock;
        this.reservations = reservations;
        this.issued = issued;
        this.capacity = capacity;
    }

    /**
     * Removes the reservation of a grant that was not used and can't be used any more.
     *
     * @param reservation an unused reservation
     */
    public void invalidate(Reservation reservation) {
        reservations.remove(reservation.grant().demand().attempt());
        issued.recordInvalidated(reservation.grant().number());
    }

    /**
     * Removes a reservation in any phase.
     *
     * @param reservation the reservation
     */
    public void release(Reservation reservation) {
        if (reservation.phase() == Reservation.Phase.UNUSED) {
            invalidate(reservation);
            return;
        }
        reservations.remove(reservation.grant().demand().attempt());
        capacity.observeRelease(reservation, clock.monotonicMillis());
    }

    /**
     * Releases the units of a reservation, which continues without units.
     *
     * @param reservation a reservation of a running attempt
     */
    public void releaseUnits(Reservation reservation) {
        capacity.observeRelease(reservation, clock.monotonicMillis());
        reservations.replace(reservation.withoutUnits());
    }
}
