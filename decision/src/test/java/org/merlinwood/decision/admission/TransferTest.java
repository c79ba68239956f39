package org.merlinwood.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Transfer time prediction and link reservations. */
final class TransferTest {

    private static final long MEGABYTE = 1_000_000;

    @Test
    void adaptsToTheObservedRate() {
        TransferTimeEstimate estimate = new TransferTimeEstimate();
        for (int transfer = 0; transfer < 200; transfer++) {
            estimate.observe(600 * MEGABYTE, 340);
        }
        assertThat(estimate.millis(600 * MEGABYTE)).isBetween(335L, 345L);
        assertThat(estimate.millis(1_200 * MEGABYTE)).isBetween(630L, 650L);
    }

    @ParameterizedTest
    @CsvSource({"0,500", "-1,500", "100,-5"})
    void ignoresImplausibleObservations(long bytes, long millis) {
        TransferTimeEstimate estimate = new TransferTimeEstimate();
        estimate.observe(bytes, millis);
        assertThat(estimate.millis(100 * MEGABYTE)).isBetween(40L, 80L);
    }

    @ParameterizedTest
    @CsvSource({"0,0", "400,0", "401,1", "1000,600"})
    void delaysReservationsBeyondTheMaximumWait(long reservedMegabytes, long waitMillis) {
        LinkReservation link = new LinkReservation(400, MEGABYTE);
        link.reserve(reservedMegabytes * MEGABYTE);
        assertThat(link.waitMillis()).isEqualTo(waitMillis);
        assertThat(link.hasCapacity()).isEqualTo(waitMillis == 0);
    }

    @Test
    void hasCapacityAfterARelease() {
        LinkReservation link = new LinkReservation(400, MEGABYTE);
        link.reserve(500 * MEGABYTE);
        link.release(200 * MEGABYTE);
        assertThat(link.hasCapacity()).isTrue();
        link.release(1_000 * MEGABYTE);
        assertThat(link.waitMillis()).isZero();
    }

    @Test
    void predictsALongerWaitOnASlowerLink() {
        LinkReservation link = new LinkReservation(400, MEGABYTE);
        link.reserve(300 * MEGABYTE);
        for (int transfer = 0; transfer < 50; transfer++) {
            link.observe(100 * MEGABYTE, 200);
        }
        assertThat(link.waitMillis()).isBetween(150L, 201L);
    }
}
