package org.merlinwood.decision.grant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.decision.grant.GrantManagerFixture.CANCELLED;
import static org.merlinwood.decision.grant.GrantManagerFixture.GRANT_MILLIS;
import static org.merlinwood.decision.grant.GrantManagerFixture.LONG_WAIT_MILLIS;
import static org.merlinwood.decision.grant.GrantManagerFixture.SESSION;
import static org.merlinwood.decision.grant.GrantManagerFixture.UNITS;
import static org.merlinwood.decision.grant.GrantManagerFixture.attempt;
import static org.merlinwood.decision.grant.GrantManagerFixture.demand;
import static org.merlinwood.decision.grant.GrantManagerFixture.granted;
import static org.merlinwood.decision.grant.GrantManagerFixture.refused;
import static org.merlinwood.decision.grant.GrantManagerFixture.withPriority;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

final class GrantQueueTest {

    private final GrantManagerFixture fixture = new GrantManagerFixture();
    private final GrantManager manager = fixture.manager;

    @ParameterizedTest
    @CsvSource({"0,1", "1,1", "2000,1", "2001,2", "40000,20"})
    void countsPiecesOfTwoThousandTokens(long tokens, int pieces) {
        assertThat(GrantDemand.piecesOf(tokens)).isEqualTo(pieces);
    }

    @Test
    void unitsAreReservedUntilReleased() {
        fixture.run(demand(1, UNITS));
        assertThat(manager.load().freePieces()).isZero();
        manager.markStopping(attempt(1, 1));
        assertThat(manager.load().freePieces()).isZero();
        manager.release(attempt(1, 1));
        assertThat(manager.load().freePieces()).isEqualTo(UNITS);
    }

    /** Guards against a refusal whose figures contradict each other, since it leaves out the wait so far. */
    @Test
    void refusalOfAWaitingDemandTellsItsWaitSoFar() {
        fixture.run(demand(1, UNITS));
        manager.request(new GrantDemand(SESSION, attempt(2, 1), UNITS, 0, 5, 1_000));
        fixture.clock.advanceMillis(600);
        assertThat(refused(manager.advance(), attempt(2, 1)).map(Failure::detail))
                .hasValue("the wait of 600 ms so far and 500 ms expected exceeds the limit of 1000 ms");
    }

    @Test
    void aComputedResultFreesItsUnitsForTheNextDemand() {
        fixture.run(demand(1, UNITS));
        assertThat(granted(manager.request(demand(2, UNITS)), attempt(2, 1))).isEmpty();
        assertThat(granted(manager.retainResult(attempt(1, 1)), attempt(2, 1))).isPresent();
        manager.release(attempt(1, 1));
        assertThat(manager.load().freePieces()).isZero();
    }

    @Test
    void aRetainedResultCanBeCancelledAndBlocksLaterAttempts() {
        fixture.run(demand(1, UNITS));
        manager.retainResult(attempt(1, 1));
        List<GrantEvent> events =
                manager.request(new GrantDemand(SESSION, attempt(1, 2), UNITS, 0, 5, LONG_WAIT_MILLIS));
        assertThat(events).hasAtLeastOneElementOfType(GrantEvent.Cancelled.class);
        assertThat(granted(events, attempt(1, 2))).isEmpty();
        assertThat(granted(manager.release(attempt(1, 1)), attempt(1, 2))).isPresent();
    }

    @Test
    void unitsOfACancelledAttemptStayReservedAfterItsResultIsComputed() {
        fixture.run(demand(1, UNITS));
        manager.cancel(attempt(1, 1), CANCELLED);
        manager.retainResult(attempt(1, 1));
        assertThat(manager.load().freePieces()).isZero();
    }

    @Test
    void retentionTimeOfAResultDoesNotLengthenTheExpectedWait() {
        fixture.run(demand(1, UNITS));
        fixture.clock.advanceMillis(100);
        manager.retainResult(attempt(1, 1));
        fixture.run(demand(2, UNITS));
        long expectedMillis = manager.load().expectedWaitMillis();
        fixture.clock.advanceMillis(60_000);
        manager.release(attempt(1, 1));
        assertThat(manager.load().expectedWaitMillis()).isEqualTo(expectedMillis);
    }

    @Test
    void servesByPriorityThenArrival() {
        fixture.run(demand(1, UNITS));
        manager.request(withPriority(2, UNITS, 5));
        manager.request(withPriority(3, UNITS, 5));
        manager.request(withPriority(4, UNITS, 1));
        assertThat(requestGrantedAfterRelease(1)).isEqualTo(4);
        assertThat(requestGrantedAfterRelease(4)).isEqualTo(2);
        assertThat(requestGrantedAfterRelease(2)).isEqualTo(3);
    }

    @Test
    void aSmallDemandDoesNotOvertakeALargeOneOfTheSamePriority() {
        fixture.run(demand(1, UNITS - 1));
        manager.request(demand(2, 5));
        assertThat(granted(manager.request(demand(3, 1)), attempt(3, 1))).isEmpty();
    }

    @Test
    void refusesADemandWhoseExpectedWaitExceedsItsLimit() {
        fixture.run(demand(1, UNITS));
        GrantDemand shortWait = new GrantDemand(SESSION, attempt(2, 1), 1, 0, 0, 1);
        Failure failure = refused(manager.request(shortWait), attempt(2, 1)).orElseThrow();
        assertThat(failure.code()).isEqualTo(ResultCode.NO_CAPACITY);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.NOT_RUN);
        assertThat(failure.retryAfterMillis()).isPositive();
    }

    @Test
    void refusesAWaitingDemandOnceItsExpectedWaitExceedsItsLimit() {
        fixture.run(demand(1, UNITS));
        GrantDemand waiting = new GrantDemand(SESSION, attempt(2, 1), 1, 0, 5, 200);
        assertThat(refused(manager.request(waiting), attempt(2, 1))).isEmpty();
        List<GrantEvent> events = manager.request(withPriority(3, UNITS, 0));
        assertThat(refused(events, attempt(2, 1)).orElseThrow().code()).isEqualTo(ResultCode.NO_CAPACITY);
    }

    @Test
    void refusesAWaitingDemandThatCanNotBeServedBeforeItsDeadline() {
        fixture.run(demand(1, UNITS));
        manager.request(new GrantDemand(SESSION, attempt(2, 1), 1, 0, 5, 200));
        fixture.clock.advanceMillis(190);
        assertThat(refused(manager.advance(), attempt(2, 1))).isPresent();
    }

    @ParameterizedTest
    @CsvSource({"50, true", "500, false"})
    void assumedReservationTimeLimitsTheFirstQueue(long assumedMillis, boolean queued) {
        manager.configure(1, 1_000);
        manager.assumeReservationTime(assumedMillis);
        fixture.run(demand(1, 1));
        for (int request = 2; request <= 12; request++) {
            List<GrantEvent> events = manager.request(new GrantDemand(SESSION, attempt(request, 1), 1, 0, 0, 1_000));
            assertThat(refused(events, attempt(request, 1)).isEmpty()).isEqualTo(queued || request <= 3);
        }
    }

    @Test
    void refusesADemandLargerThanTheCapacity() {
        assertThat(refused(manager.request(demand(1, UNITS + 1)), attempt(1, 1))
                        .orElseThrow()
                        .code())
                .isEqualTo(ResultCode.PROMPT_TOO_LONG);
    }

    @Test
    void aFullQueueRefusesEqualPriorityAndEvictsForHigherPriority() {
        fixture.run(demand(1, UNITS));
        for (int number = 0; number < GrantManager.MAXIMUM_WAITING; number++) {
            manager.request(withPriority(100 + number, 1, 5));
        }
        assertThat(refused(manager.request(withPriority(2, 1, 5)), attempt(2, 1)))
                .isPresent();
        List<GrantEvent> events = manager.request(withPriority(3, 1, 1));
        assertThat(refused(events, attempt(3, 1))).isEmpty();
        assertThat(events).anyMatch(GrantEvent.Refused.class::isInstance);
        assertThat(manager.load().queued()).isEqualTo(GrantManager.MAXIMUM_WAITING);
    }

    @Test
    void drainingRefusesWaitingAndNewDemandsAndHonoursGrants() {
        Grant grant = fixture.grant(demand(1, UNITS));
        manager.request(demand(2, 1));
        assertThat(refused(manager.drain(), attempt(2, 1)).orElseThrow().code()).isEqualTo(ResultCode.DRAINING);
        assertThat(refused(manager.request(demand(3, 1)), attempt(3, 1))
                        .orElseThrow()
                        .code())
                .isEqualTo(ResultCode.DRAINING);
        assertThat(manager.use(SESSION, grant.number(), attempt(1, 1)).isRight())
                .isTrue();
        assertThat(manager.isIdle()).isFalse();
        manager.release(attempt(1, 1));
        assertThat(manager.isIdle()).isTrue();
    }

    @Test
    void aLaterAttemptWaitsUntilTheEarlierOneIsReleased() {
        fixture.run(demand(1, 1));
        GrantDemand second = new GrantDemand(SESSION, attempt(1, 2), 1, 0, 5, LONG_WAIT_MILLIS);
        List<GrantEvent> events = manager.request(second);
        assertThat(events)
                .anyMatch(event ->
                        event instanceof GrantEvent.Cancelled && event.attempt().equals(attempt(1, 1)));
        assertThat(granted(events, attempt(1, 2))).isEmpty();
        assertThat(granted(manager.release(attempt(1, 1)), attempt(1, 2))).isPresent();
    }

    @Test
    void anEarlierAttemptThatArrivesLateIsRefused() {
        fixture.grant(new GrantDemand(SESSION, attempt(1, 2), 1, 0, 5, LONG_WAIT_MILLIS));
        assertThat(refused(manager.request(demand(1, 1)), attempt(1, 1))
                        .orElseThrow()
                        .code())
                .isEqualTo(ResultCode.SUPERSEDED);
    }

    @Test
    void anExpiredGrantFreesItsUnitsForTheNextInTheQueue() {
        fixture.grant(demand(1, UNITS));
        manager.request(demand(2, 1));
        fixture.clock.advanceMillis(GRANT_MILLIS);
        assertThat(granted(manager.advance(), attempt(2, 1))).isPresent();
    }

    @Test
    void allAttemptsOfARequestAreCancelledTogether() {
        fixture.run(demand(1, 1));
        assertThat(manager.cancelAll(attempt(1, 1).request(), CANCELLED))
                .singleElement()
                .isInstanceOf(GrantEvent.Cancelled.class);
    }

    private long requestGrantedAfterRelease(long released) {
        manager.use(SESSION, grantNumberOf(released), attempt(released, 1));
        return manager.release(attempt(released, 1)).stream()
                .filter(GrantEvent.Granted.class::isInstance)
                .findFirst()
                .orElseThrow()
                .attempt()
                .request()
                .low();
    }

    private long grantNumberOf(long request) {
        return manager.state().holdings().stream()
                .filter(reservation -> reservation.grant().demand().attempt().equals(attempt(request, 1)))
                .findFirst()
                .orElseThrow()
                .grant()
                .number();
    }
}
