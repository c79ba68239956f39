package org.merlinwood.decision.grant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Attempts that are stopped, with one unit of capacity as a prefill instance has. */
final class StoppedReservationTest {

    private static final long RUN_MILLIS = 50;
    private static final long RESTART_MILLIS = 5_000;

    private final GrantManagerFixture fixture = new GrantManagerFixture();
    private final GrantManager manager = fixture.manager;
    private long requests;

    @BeforeEach
    void configureOneUnit() {
        manager.configure(1, GrantManagerFixture.GRANT_MILLIS);
        manager.assumeReservationTime(RUN_MILLIS);
    }

    /** Guards against requests that are refused for a predicted wait that the restart of a crashed engine took. */
    @Test
    void restartOfACrashedEngineDoesNotCountAsReservationTime() {
        AttemptIdentity crashed = run();
        fixture.clock.advanceMillis(RUN_MILLIS);
        manager.markStopping(crashed);
        fixture.clock.advanceMillis(RESTART_MILLIS);
        manager.release(crashed);
        assertThat(expectedWaitMillis()).isEqualTo(RUN_MILLIS);
    }

    @Test
    void timeUntilTheStopCountsOnce() {
        AttemptIdentity stopped = run();
        fixture.clock.advanceMillis(RUN_MILLIS + RESTART_MILLIS);
        manager.markStopping(stopped);
        long afterStop = manager.load().expectedWaitMillis();
        assertThat(afterStop).isGreaterThan(RUN_MILLIS);
        manager.markStopping(stopped);
        manager.release(stopped);
        assertThat(expectedWaitMillis()).isEqualTo(afterStop);
    }

    /** Returns the predicted wait of a demand behind one that runs. */
    private long expectedWaitMillis() {
        run();
        return manager.load().expectedWaitMillis();
    }

    private AttemptIdentity run() {
        requests++;
        fixture.run(GrantManagerFixture.demand(requests, 1));
        return GrantManagerFixture.attempt(requests, 1);
    }
}
