package org.merlinwood.decision.grant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.decision.grant.GrantManagerFixture.CANCELLED;
import static org.merlinwood.decision.grant.GrantManagerFixture.GRANT_MILLIS;
import static org.merlinwood.decision.grant.GrantManagerFixture.SESSION;
import static org.merlinwood.decision.grant.GrantManagerFixture.attempt;
import static org.merlinwood.decision.grant.GrantManagerFixture.demand;
import static org.merlinwood.decision.grant.GrantManagerFixture.refused;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

final class GrantUseTest {

    private final GrantManagerFixture fixture = new GrantManagerFixture();
    private final GrantManager manager = fixture.manager;

    @Test
    void aGrantCanBeUsedOnlyOnce() {
        Grant grant = fixture.run(demand(1, 1));
        assertThat(useExpectingFailure(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.UNKNOWN);
    }

    @Test
    void usingAReleasedGrantAgainReportsUnknownExecution() {
        Grant grant = fixture.run(demand(1, 1));
        manager.release(attempt(1, 1));
        assertThat(useExpectingFailure(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.UNKNOWN);
    }

    @Test
    void anExpiredGrantIsInvalidated() {
        Grant grant = fixture.grant(demand(1, 1));
        fixture.clock.advanceMillis(GRANT_MILLIS);
        Failure failure = useExpectingFailure(SESSION, grant.number(), attempt(1, 1));
        assertThat(failure.code()).isEqualTo(ResultCode.GRANT_EXPIRED);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.NOT_RUN);
        assertThat(manager.isIdle()).isTrue();
    }

    @Test
    void anUnusedGrantExpiresWithoutAnExecute() {
        Grant grant = fixture.grant(demand(1, 1));
        fixture.clock.advanceMillis(GRANT_MILLIS);
        assertThat(refused(manager.advance(), attempt(1, 1)).orElseThrow().code())
                .isEqualTo(ResultCode.GRANT_EXPIRED);
        assertThat(useExpectingFailure(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    @Test
    void aRunningGrantDoesNotExpire() {
        fixture.run(demand(1, 1));
        fixture.clock.advanceMillis(GRANT_MILLIS);
        assertThat(manager.advance()).isEmpty();
    }

    @Test
    void useOnAnotherConnectionInvalidatesTheGrant() {
        Grant grant = fixture.grant(demand(1, 1));
        assertThat(useExpectingFailure(new SessionNumber(2), grant.number(), attempt(1, 1))
                        .executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
        assertThat(useExpectingFailure(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    @Test
    void useByAnotherAttemptInvalidatesTheGrant() {
        Grant grant = fixture.grant(demand(1, 1));
        assertThat(useExpectingFailure(SESSION, grant.number(), attempt(2, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
        assertThat(manager.isIdle()).isTrue();
    }

    @Test
    void anUnissuedGrantNumberIsReportedAsNotRun() {
        assertThat(useExpectingFailure(SESSION, 77, attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    @Test
    void aCancelBeforeTheExecuteInvalidatesTheGrant() {
        Grant grant = fixture.grant(demand(1, 1));
        assertThat(refused(manager.cancel(attempt(1, 1), CANCELLED), attempt(1, 1))
                        .orElseThrow()
                        .executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
        assertThat(useExpectingFailure(SESSION, grant.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    @Test
    void aClosedConnectionInvalidatesUnusedGrantsAndCancelsRunningAttempts() {
        Grant unused = fixture.grant(demand(1, 1));
        fixture.run(demand(2, 1));
        assertThat(manager.cancelSession(SESSION))
                .anyMatch(event ->
                        event instanceof GrantEvent.Cancelled && event.attempt().equals(attempt(2, 1)));
        assertThat(useExpectingFailure(SESSION, unused.number(), attempt(1, 1)).executionState())
                .isEqualTo(ExecutionState.NOT_RUN);
    }

    private Failure useExpectingFailure(SessionNumber session, long number, AttemptIdentity attempt) {
        return manager.use(session, number, attempt).getLeft();
    }
}
