package org.merlinwood.decision.grant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Work that may have ended an engine shares an engine with no other such work before its trial is over. */
final class GrantTrialTest {

    private static final AttemptIdentity FIRST = GrantBookFixture.attempt(1, 1);
    private static final AttemptIdentity SECOND = GrantBookFixture.attempt(2, 1);

    private final GrantBookFixture fixture = new GrantBookFixture();
    private final GrantManager book = fixture.book;

    @Test
    void aSecondTrialWaitsUntilTheFirstIsPassed() {
        book.request(trial(1));
        assertThat(book.request(trial(2))).singleElement().isInstanceOf(GrantEvent.Waiting.class);
        assertThat(book.isOnTrial(FIRST)).isTrue();
        assertThat(book.passTrial(FIRST)).singleElement().isInstanceOf(GrantEvent.Granted.class);
        assertThat(book.isOnTrial(FIRST)).isFalse();
        assertThat(book.isOnTrial(SECOND)).isTrue();
    }

    @Test
    void aSecondTrialFollowsOneThatIsGivenBack() {
        book.request(trial(1));
        book.request(trial(2));
        assertThat(book.release(FIRST)).singleElement().isInstanceOf(GrantEvent.Granted.class);
    }

    @Test
    void aWaitingTrialHoldsNothingElseUp() {
        book.request(trial(1));
        book.request(trial(2));
        assertThat(book.request(GrantBookFixture.demand(3, 1))).singleElement().isInstanceOf(GrantEvent.Granted.class);
    }

    private static GrantDemand trial(int request) {
        return GrantBookFixture.demand(request, 1).asTrial();
    }
}
