package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.route.RequestKind;

final class DrainPolicyTest {

    private static final long GRACE_MILLIS = 8_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final DrainPolicy policy = new DrainPolicy(clock, GRACE_MILLIS);

    @ParameterizedTest(name = "{0} at {1} ms")
    @CsvSource({
        "STREAM, 0, true",
        "STREAM, 1500, false",
        "STREAM, 7100, false",
        "NON_IDEMPOTENT, 5000, true",
        "IDEMPOTENT, 7000, false",
    })
    void acceptsOnlyRequestsThatCanCompleteBeforeForcedExit(RequestKind kind, long elapsedMillis, boolean accepted) {
        policy.start();
        clock.advanceMillis(elapsedMillis);
        assertThat(policy.accepts(kind)).isEqualTo(accepted);
    }

    /** A request that arrives between the last response and the exit of the process would be cut off by the exit. */
    @Test
    void refusesEveryRequestAfterStopAccepting() {
        policy.start();
        clock.advanceMillis(3_000);
        assertThat(policy.mayStopAccepting(0)).isTrue();
        policy.stopAccepting();
        assertThat(policy.accepts(RequestKind.IDEMPOTENT)).isFalse();
        assertThat(policy.millisUntilForcedExit()).isPositive();
    }

    @Test
    void openRequestsDelayStopAcceptingUntilForcedExitIsNear() {
        policy.start();
        clock.advanceMillis(5_000);
        assertThat(policy.mayStopAccepting(1)).isFalse();
        clock.advanceMillis(2_800);
        assertThat(policy.mayStopAccepting(1)).isTrue();
    }

    @Test
    void secondStartIsIgnored() {
        assertThat(policy.start()).isTrue();
        clock.advanceMillis(500);
        assertThat(policy.start()).isFalse();
        assertThat(policy.elapsedMillis()).isEqualTo(500);
    }
}
