package org.merlinwood.decision.grant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.decision.grant.impl.Capacity;
import org.merlinwood.decision.grant.impl.Reservation;
import org.merlinwood.decision.grant.impl.Reservations;
import org.merlinwood.decision.grant.impl.WaitingQueue;

final class CapacityTest {

    /** Reservation time of each unit, in milliseconds. */
    private static final long RESERVATION_MILLIS = 100;

    private final Reservations reservations = new Reservations();
    private final WaitingQueue queue = new WaitingQueue();
    private final Capacity capacity = new Capacity(reservations, queue);

    @BeforeEach
    void configureTenUnits() {
        capacity.configure(10);
        capacity.assumeReservationTime(RESERVATION_MILLIS);
    }

    @Test
    void demandThatFitsDoesNotWait() {
        reserve(1, 6);
        assertThat(capacity.freeUnits()).isEqualTo(4);
        assertThat(capacity.expectedWaitMillis(GrantManagerFixture.demand(2, 4)))
                .isZero();
    }

    /** Ten units of 100 ms each: one is released every 10 ms. */
    @Test
    void missingUnitsAreReleasedOneAfterAnother() {
        reserve(1, 10);
        assertThat(capacity.expectedWaitMillis(GrantManagerFixture.demand(2, 3)))
                .isEqualTo(30);
    }

    @Test
    void onlyDemandsThatAreServedBeforeCount() {
        reserve(1, 10);
        queue.add(GrantManagerFixture.withPriority(2, 2, 1), 0);
        queue.add(GrantManagerFixture.withPriority(3, 4, 9), 0);
        assertThat(capacity.expectedWaitMillis(GrantManagerFixture.withPriority(4, 1, 5)))
                .isEqualTo(30);
        assertThat(capacity.expectedWaitBehindQueueMillis()).isEqualTo(70);
    }

    @Test
    void demandWithoutUnitsNeverWaits() {
        reserve(1, 10);
        assertThat(capacity.expectedWaitMillis(GrantManagerFixture.demand(2, 0)))
                .isZero();
    }

    @Test
    void observedReservationTimeReplacesAssumedOne() {
        Reservation ended = reserve(1, 10);
        capacity.observeRelease(ended, 10_000);
        long afterObservation = capacity.expectedWaitMillis(GrantManagerFixture.demand(2, 1));
        capacity.assumeReservationTime(RESERVATION_MILLIS);
        assertThat(afterObservation).isGreaterThan(RESERVATION_MILLIS / 10);
        assertThat(capacity.expectedWaitMillis(GrantManagerFixture.demand(2, 1)))
                .isEqualTo(afterObservation);
    }

    @Test
    void reservationWithoutUnitsIsNotObserved() {
        Reservation ended = reserve(1, 0);
        reserve(2, 10);
        capacity.observeRelease(ended, 10_000);
        assertThat(capacity.expectedWaitMillis(GrantManagerFixture.demand(3, 1)))
                .isEqualTo(RESERVATION_MILLIS / 10);
    }

    @Test
    void reducedCapacityLeavesFreeUnitsNegativeAndUnknownOneExpectsNoWait() {
        reserve(1, 10);
        capacity.configure(4);
        assertThat(capacity.freeUnits()).isEqualTo(-6);
        capacity.configure(0);
        assertThat(capacity.expectedWaitBehindQueueMillis()).isZero();
        assertThat(capacity.expectedWaitMillis(5, GrantManagerFixture.demand(2, 1)))
                .isZero();
    }

    private Reservation reserve(long request, int units) {
        Reservation reservation = new Reservation(
                new Grant(request, GrantManagerFixture.demand(request, units), 0), Reservation.Phase.RUNNING, 0);
        reservations.add(reservation);
        return reservation;
    }
}
