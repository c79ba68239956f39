package org.merlinwood.decision.grant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Requests that may have crashed an engine must not run at the same engine until the trial of the first is over. */
final class GrantTrialTest {

    private static final AttemptIdentity FIRST = GrantManagerFixture.attempt(1, 1);
    private static final AttemptIdentity SECOND = GrantManagerFixture.attempt(2, 1);

    private final GrantManagerFixture fixture = new GrantManagerFixture();
    private final GrantManager manager = fixture.manager;

    @Test
    void aSecondTrialWaitsUntilTheFirstHasPassed() {
        manager.request(trial(1));
        assertThat(manager.request(trial(2))).singleElement().isInstanceOf(GrantEvent.Waiting.class);
        assertThat(manager.isOnTrial(FIRST)).isTrue();
        assertThat(manager.passTrial(FIRST)).singleElement().isInstanceOf(GrantEvent.Granted.class);
        assertThat(manager.isOnTrial(FIRST)).isFalse();
        assertThat(manager.isOnTrial(SECOND)).isTrue();
    }

    @Test
    void aSecondTrialIsGrantedWhenTheFirstIsReleased() {
        manager.request(trial(1));
        manager.request(trial(2));
        assertThat(manager.release(FIRST)).singleElement().isInstanceOf(GrantEvent.Granted.class);
    }

    @Test
    void aWaitingTrialDoesNotBlockOtherDemands() {
        manager.request(trial(1));
        manager.request(trial(2));
        assertThat(manager.request(GrantManagerFixture.demand(3, 1)))
                .singleElement()
                .isInstanceOf(GrantEvent.Granted.class);
    }

    private static GrantDemand trial(int request) {
        return GrantManagerFixture.demand(request, 1).asTrial();
    }
}
