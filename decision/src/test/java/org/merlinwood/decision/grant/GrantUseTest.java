package org.merlinwood.decision.grant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.decision.grant.GrantBookFixture.CANCELLED;
import static org.merlinwood.decision.grant.GrantBookFixture.GRANT_MILLIS;
import static org.merlinwood.decision.grant.GrantBookFixture.SESSION;
import static org.merlinwood.decision.grant.GrantBookFixture.attempt;
import static org.merlinwood.decision.grant.GrantBookFixture.demand;
import static org.merlinwood.decision.grant.GrantBookFixture.denied;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

final class GrantUseTest {

    private final GrantBookFixture fixture = new GrantBookFixture();
    private final GrantManager book = fixture.book;

    @Test
    void aGrantIsUsedOnce() {
        Grant grant = fixture.run(demand(1, 1));
        assertThat(useInVain(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.UNKNOWN);
    }

    @Test
    void aGrantThatRanIsNeverCalledNotRunAfterwards() {
        Grant grant = fixture.run(demand(1, 1));
        book.release(attempt(1, 1));
        assertThat(useInVain(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.UNKNOWN);
    }

    @Test
    void anExpiredGrantIsBurnt() {
        Grant grant = fixture.give(demand(1, 1));
        fixture.clock.advanceMillis(GRANT_MILLIS);
        Failure failure = useInVain(SESSION, grant.number(), attempt(1, 1));
        assertThat(failure.code()).isEqualTo(ResultCode.GRANT_EXPIRED);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.NOT_RUN);
        assertThat(book.isIdle()).isTrue();
    }

    @Test
    void anUnusedGrantLapsesWithoutAnExecute() {
        Grant grant = fixture.give(demand(1, 1));
        fixture.clock.advanceMillis(GRANT_MILLIS);
        assertThat(denied(book.advance(), attempt(1, 1)).orElseThrow().code()).isEqualTo(ResultCode.GRANT_EXPIRED);
        assertThat(useInVain(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    @Test
    void aRunningGrantDoesNotLapse() {
        fixture.run(demand(1, 1));
        fixture.clock.advanceMillis(GRANT_MILLIS);
        assertThat(book.advance()).isEmpty();
    }

    @Test
    void anotherConnectionBurnsTheGrant() {
        Grant grant = fixture.give(demand(1, 1));
        assertThat(useInVain(new SessionNumber(2), grant.number(), attempt(1, 1))
                        .executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
        assertThat(useInVain(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    @Test
    void anotherAttemptBurnsTheGrant() {
        Grant grant = fixture.give(demand(1, 1));
        assertThat(useInVain(SESSION, grant.number(), attempt(2, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
        assertThat(book.isIdle()).isTrue();
    }

    @Test
    void aNumberThatWasNeverGivenIsNotRun() {
        assertThat(useInVain(SESSION, 77, attempt(1, 1)).executionState()).isEqualTo(ExecutionState.NOT_RUN);
    }

    @Test
    void aCancelThatOvertakesItsExecuteBurnsTheGrant() {
        Grant grant = fixture.give(demand(1, 1));
        assertThat(denied(book.cancel(attempt(1, 1), CANCELLED), attempt(1, 1))
                        .orElseThrow()
                        .executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
        assertThat(useInVain(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    @Test
    void aClosedConnectionBurnsItsGrantsAndAbandonsWhatRuns() {
        Grant unused = fixture.give(demand(1, 1));
        fixture.run(demand(2, 1));
        assertThat(book.cancelSession(SESSION))
                .anyMatch(event ->
                        event instanceof GrantEvent.Cancelled && event.attempt().equals(attempt(2, 1)));
        assertThat(useInVain(SESSION, unused.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    private Failure useInVain(SessionNumber session, long number, AttemptIdentity attempt) {
        return book.use(session, number, attempt).getLeft();
    }
}
