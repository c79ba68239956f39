package org.merlinwood.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Prediction of transfers and promises of the link. */
final class TransferTest {

    private static final long MEGABYTE = 1_000_000;

    @Test
    void learnsTheRateOfTransfers() {
        TransferTimeEstimate rate = new TransferTimeEstimate();
        for (int transfer = 0; transfer < 200; transfer++) {
            rate.observe(600 * MEGABYTE, 340);
        }
        assertThat(rate.millis(600 * MEGABYTE)).isBetween(335L, 345L);
        assertThat(rate.millis(1_200 * MEGABYTE)).isBetween(630L, 650L);
    }

    @ParameterizedTest
    @CsvSource({"0,500", "-1,500", "100,-5"})
    void staysUsableAfterAnOddObservation(long bytes, long millis) {
        TransferTimeEstimate rate = new TransferTimeEstimate();
        rate.observe(bytes, millis);
        assertThat(rate.millis(100 * MEGABYTE)).isBetween(40L, 80L);
    }

    @ParameterizedTest
    @CsvSource({"0,0", "400,0", "401,1", "1000,600"})
    void holdsPromisesBackWhileThoseBeforeTakeTooLong(long reservedMegabytes, long waitMillis) {
        LinkReservation link = new LinkReservation(400, MEGABYTE);
        link.reserve(reservedMegabytes * MEGABYTE);
        assertThat(link.waitMillis()).isEqualTo(waitMillis);
        assertThat(link.hasCapacity()).isEqualTo(waitMillis == 0);
    }

    @Test
    void hasRoomAgainAfterARelease() {
        LinkReservation link = new LinkReservation(400, MEGABYTE);
        link.reserve(500 * MEGABYTE);
        link.release(200 * MEGABYTE);
        assertThat(link.hasCapacity()).isTrue();
        link.release(1_000 * MEGABYTE);
        assertThat(link.waitMillis()).isZero();
    }

    @Test
    void holdsBackMoreOnASlowerLink() {
        LinkReservation link = new LinkReservation(400, MEGABYTE);
        link.reserve(300 * MEGABYTE);
        for (int transfer = 0; transfer < 50; transfer++) {
            link.observe(100 * MEGABYTE, 200);
        }
        assertThat(link.waitMillis()).isBetween(150L, 201L);
    }
}
