package org.merlinwood.decision.grant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.decision.grant.GrantBookFixture.CANCELLED;
import static org.merlinwood.decision.grant.GrantBookFixture.GRANT_MILLIS;
import static org.merlinwood.decision.grant.GrantBookFixture.LONG_WAIT_MILLIS;
import static org.merlinwood.decision.grant.GrantBookFixture.SESSION;
import static org.merlinwood.decision.grant.GrantBookFixture.UNITS;
import static org.merlinwood.decision.grant.GrantBookFixture.attempt;
import static org.merlinwood.decision.grant.GrantBookFixture.demand;
import static org.merlinwood.decision.grant.GrantBookFixture.denied;
import static org.merlinwood.decision.grant.GrantBookFixture.given;
import static org.merlinwood.decision.grant.GrantBookFixture.withPriority;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

final class GrantQueueTest {

    private final GrantBookFixture fixture = new GrantBookFixture();
    private final GrantManager book = fixture.book;

    @ParameterizedTest
    @CsvSource({"0,1", "1,1", "2000,1", "2001,2", "40000,20"})
    void countsPiecesOfTwoThousandTokens(long tokens, int pieces) {
        assertThat(GrantDemand.piecesOf(tokens)).isEqualTo(pieces);
    }

    @Test
    void unitsAreReservedUntilReleased() {
        fixture.run(demand(1, UNITS));
        assertThat(book.load().freePieces()).isZero();
        book.markStopping(attempt(1, 1));
        assertThat(book.load().freePieces()).isZero();
        book.release(attempt(1, 1));
        assertThat(book.load().freePieces()).isEqualTo(UNITS);
    }

    @Test
    void aComputedResultFreesItsUnitsForTheNextDemand() {
        fixture.run(demand(1, UNITS));
        assertThat(given(book.request(demand(2, UNITS)), attempt(2, 1))).isEmpty();
        assertThat(given(book.retainResult(attempt(1, 1)), attempt(2, 1))).isPresent();
        book.release(attempt(1, 1));
        assertThat(book.load().freePieces()).isZero();
    }

    @Test
    void aKeptResultCanBeCancelledAndBlocksLaterAttempts() {
        fixture.run(demand(1, UNITS));
        book.retainResult(attempt(1, 1));
        List<GrantEvent> events = book.request(new GrantDemand(SESSION, attempt(1, 2), UNITS, 0, 5, LONG_WAIT_MILLIS));
        assertThat(events).hasAtLeastOneElementOfType(GrantEvent.Cancelled.class);
        assertThat(given(events, attempt(1, 2))).isEmpty();
        assertThat(given(book.release(attempt(1, 1)), attempt(1, 2))).isPresent();
    }

    @Test
    void unitsOfACancelledAttemptStayReservedThoughItsResultIsComputed() {
        fixture.run(demand(1, UNITS));
        book.cancel(attempt(1, 1), CANCELLED);
        book.retainResult(attempt(1, 1));
        assertThat(book.load().freePieces()).isZero();
    }

    @Test
    void theTimeThatAResultIsKeptDoesNotLengthenTheExpectedWait() {
        fixture.run(demand(1, UNITS));
        fixture.clock.advanceMillis(100);
        book.retainResult(attempt(1, 1));
        fixture.run(demand(2, UNITS));
        long expectedMillis = book.load().expectedWaitMillis();
        fixture.clock.advanceMillis(60_000);
        book.release(attempt(1, 1));
        assertThat(book.load().expectedWaitMillis()).isEqualTo(expectedMillis);
    }

    @Test
    void servesByPriorityThenArrival() {
        fixture.run(demand(1, UNITS));
        book.request(withPriority(2, UNITS, 5));
        book.request(withPriority(3, UNITS, 5));
        book.request(withPriority(4, UNITS, 1));
        assertThat(servedAfter(1)).isEqualTo(4);
        assertThat(servedAfter(4)).isEqualTo(2);
        assertThat(servedAfter(2)).isEqualTo(3);
    }

    @Test
    void aSmallDemandDoesNotPassALargeOneOfItsPriority() {
        fixture.run(demand(1, UNITS - 1));
        book.request(demand(2, 5));
        assertThat(given(book.request(demand(3, 1)), attempt(3, 1))).isEmpty();
    }

    @Test
    void refusesAtOnceWhatCanNotBeMet() {
        fixture.run(demand(1, UNITS));
        GrantDemand impatient = new GrantDemand(SESSION, attempt(2, 1), 1, 0, 0, 1);
        Failure failure = denied(book.request(impatient), attempt(2, 1)).orElseThrow();
        assertThat(failure.code()).isEqualTo(ResultCode.NO_CAPACITY);
        assertThat(failure.executionState()).isEqualTo(ExecutionState.NOT_RUN);
        assertThat(failure.retryAfterMillis()).isPositive();
    }

    @Test
    void givesUpAWaitingDemandAsSoonAsItsWaitCanNotBeMet() {
        fixture.run(demand(1, UNITS));
        GrantDemand waiting = new GrantDemand(SESSION, attempt(2, 1), 1, 0, 5, 200);
        assertThat(denied(book.request(waiting), attempt(2, 1))).isEmpty();
        List<GrantEvent> events = book.request(withPriority(3, UNITS, 0));
        assertThat(denied(events, attempt(2, 1)).orElseThrow().code()).isEqualTo(ResultCode.NO_CAPACITY);
    }

    @Test
    void givesUpAWaitingDemandBeforeItsDeadline() {
        fixture.run(demand(1, UNITS));
        book.request(new GrantDemand(SESSION, attempt(2, 1), 1, 0, 5, 200));
        fixture.clock.advanceMillis(190);
        assertThat(denied(book.advance(), attempt(2, 1))).isPresent();
    }

    @ParameterizedTest
    @CsvSource({"50, true", "500, false"})
    void whatIsAssumedOfTheFirstHoldDecidesTheFirstQueue(long assumedMillis, boolean queued) {
        book.configure(1, 1_000);
        book.assumeReservationTime(assumedMillis);
        fixture.run(demand(1, 1));
        for (int request = 2; request <= 12; request++) {
            List<GrantEvent> events = book.request(new GrantDemand(SESSION, attempt(request, 1), 1, 0, 0, 1_000));
            assertThat(denied(events, attempt(request, 1)).isEmpty()).isEqualTo(queued || request <= 3);
        }
    }

    @Test
    void refusesWhatNeverFits() {
        assertThat(denied(book.request(demand(1, UNITS + 1)), attempt(1, 1))
                        .orElseThrow()
                        .code())
                .isEqualTo(ResultCode.PROMPT_TOO_LONG);
    }

    @Test
    void theQueueIsBounded() {
        fixture.run(demand(1, UNITS));
        for (int number = 0; number < GrantManager.MAXIMUM_WAITING; number++) {
            book.request(withPriority(100 + number, 1, 5));
        }
        assertThat(denied(book.request(withPriority(2, 1, 5)), attempt(2, 1))).isPresent();
        List<GrantEvent> events = book.request(withPriority(3, 1, 1));
        assertThat(denied(events, attempt(3, 1))).isEmpty();
        assertThat(events).anyMatch(GrantEvent.Refused.class::isInstance);
        assertThat(book.load().queued()).isEqualTo(GrantManager.MAXIMUM_WAITING);
    }

    @Test
    void drainingRefusesWaitingAndNewDemandsAndHonoursGrants() {
        Grant grant = fixture.give(demand(1, UNITS));
        book.request(demand(2, 1));
        assertThat(denied(book.drain(), attempt(2, 1)).orElseThrow().code()).isEqualTo(ResultCode.DRAINING);
        assertThat(denied(book.request(demand(3, 1)), attempt(3, 1))
                        .orElseThrow()
                        .code())
                .isEqualTo(ResultCode.DRAINING);
        assertThat(book.use(SESSION, grant.number(), attempt(1, 1)).isRight()).isTrue();
        assertThat(book.isIdle()).isFalse();
        book.release(attempt(1, 1));
        assertThat(book.isIdle()).isTrue();
    }

    @Test
    void aLaterAttemptWaitsUntilTheEarlierOneIsGone() {
        fixture.run(demand(1, 1));
        GrantDemand second = new GrantDemand(SESSION, attempt(1, 2), 1, 0, 5, LONG_WAIT_MILLIS);
        List<GrantEvent> events = book.request(second);
        assertThat(events)
                .anyMatch(event ->
                        event instanceof GrantEvent.Cancelled && event.attempt().equals(attempt(1, 1)));
        assertThat(given(events, attempt(1, 2))).isEmpty();
        assertThat(given(book.release(attempt(1, 1)), attempt(1, 2))).isPresent();
    }

    @Test
    void anEarlierAttemptThatArrivesLateIsRefused() {
        fixture.give(new GrantDemand(SESSION, attempt(1, 2), 1, 0, 5, LONG_WAIT_MILLIS));
        assertThat(denied(book.request(demand(1, 1)), attempt(1, 1))
                        .orElseThrow()
                        .code())
                .isEqualTo(ResultCode.SUPERSEDED);
    }

    @Test
    void aLapsedGrantServesTheNextInTheQueue() {
        fixture.give(demand(1, UNITS));
        book.request(demand(2, 1));
        fixture.clock.advanceMillis(GRANT_MILLIS);
        assertThat(given(book.advance(), attempt(2, 1))).isPresent();
    }

    @Test
    void allAttemptsOfARequestAreCancelledTogether() {
        fixture.run(demand(1, 1));
        assertThat(book.cancelAll(attempt(1, 1).request(), CANCELLED))
                .singleElement()
                .isInstanceOf(GrantEvent.Cancelled.class);
    }

    private long servedAfter(long finished) {
        book.use(SESSION, grantOf(finished), attempt(finished, 1));
        return book.release(attempt(finished, 1)).stream()
                .filter(GrantEvent.Granted.class::isInstance)
                .findFirst()
                .orElseThrow()
                .attempt()
                .request()
                .low();
    }

    private long grantOf(long request) {
        return book.state().holdings().stream()
                .filter(holding -> holding.grant().demand().attempt().equals(attempt(request, 1)))
                .findFirst()
                .orElseThrow()
                .grant()
                .number();
    }
}
