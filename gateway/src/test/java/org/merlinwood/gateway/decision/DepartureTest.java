package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.route.RequestKind;

final class DepartureTest {

    private static final long GRACE_MILLIS = 8_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final DrainPolicy departure = new DrainPolicy(clock, GRACE_MILLIS);

    @ParameterizedTest(name = "{0} at {1} ms")
    @CsvSource({
        "STREAM, 0, true",
        "STREAM, 1500, false",
        "STREAM, 7100, false",
        "NON_IDEMPOTENT, 5000, true",
        "IDEMPOTENT, 7000, false",
    })
    void aRequestThatCanNotBeFinishedIsRefused(RequestKind kind, long elapsedMillis, boolean taken) {
        departure.start();
        clock.advanceMillis(elapsedMillis);
        assertThat(departure.accepts(kind)).isEqualTo(taken);
    }

    /** A request that comes between the last answer and the end of the process. */
    @Test
    void nothingIsTakenBehindTheLastAnswer() {
        departure.start();
        clock.advanceMillis(3_000);
        assertThat(departure.mayStopAccepting(0)).isTrue();
        departure.stopAccepting();
        assertThat(departure.accepts(RequestKind.IDEMPOTENT)).isFalse();
        assertThat(departure.mayExit(1)).isFalse();
        assertThat(departure.mayExit(0)).isTrue();
    }

    @Test
    void openRequestsKeepTheEntryUntilTheForcedEndIsNear() {
        departure.start();
        clock.advanceMillis(5_000);
        assertThat(departure.mayStopAccepting(1)).isFalse();
        clock.advanceMillis(2_800);
        assertThat(departure.mayStopAccepting(1)).isTrue();
    }

    @Test
    void aSecondSignalChangesNothing() {
        assertThat(departure.start()).isTrue();
        clock.advanceMillis(500);
        assertThat(departure.start()).isFalse();
        assertThat(departure.elapsedMillis()).isEqualTo(500);
    }
}
