package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.drainRetries;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/**
 * Guards against plain requests that fail although an instance would have answered, since its attempt was given up for
 * another one: both stay open until one of them has answered.
 */
final class SilentPlainAttemptTest {

    /** Time without a response after which a plain request may be sent to another instance, in milliseconds. */
    private static final long PLAIN_SILENCE_MILLIS = RequestProcessorFixture.CALLER_TIME_MILLIS / 2;

    /** How the replacement of a plain attempt comes to nothing. */
    enum ReplacementEnd {
        DECLINED,
        UNREACHED,
        BROKEN;

        private void apply(SentRequest replacement) {
            switch (this) {
                case DECLINED -> replacement.respond(503, "", FakeUpstreamProtocol.NOT_RUN);
                case UNREACHED -> replacement.fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
                case BROKEN -> replacement.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
            }
        }
    }

    /** How a request ends without a response of an instance. */
    enum RequestEnd {
        CALLER_LEFT,
        TIMEOUT;

        private void apply(RequestProcessorFixture fixture) {
            switch (this) {
                case CALLER_LEFT -> fixture.caller.disconnect();
                case TIMEOUT -> fixture.loop.advance(RequestProcessorFixture.ROUTE_TIMEOUT_MILLIS);
            }
        }
    }

    private final RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);

    private SentRequest sendRequest(String... instances) {
        fixture.register(Stage.PLAIN, instances);
        fixture.sendRequest("/p/x");
        return fixture.client.last();
    }

    private SentRequest replace(SentRequest silent) {
        fixture.loop.advance(PLAIN_SILENCE_MILLIS);
        SentRequest replacement = fixture.client.last();
        assertThat(replacement).isNotSameAs(silent);
        assertThat(silent.cancelled()).isFalse();
        return replacement;
    }

    private void assertAnswered(String body) {
        assertThat(fixture.caller.status).isEqualTo(200);
        assertThat(fixture.caller.body).isEqualTo(body);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    private void assertFirstResponseIsForwarded(SentRequest answered, SentRequest other, String body) {
        answered.respond(200, body, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(other.cancelled()).isTrue();
        assertAnswered(body);
    }

    /** A sound instance takes longer than half the time; its attempt must outlive a replacement that is not run. */
    @ParameterizedTest
    @EnumSource(ReplacementEnd.class)
    void plainRequestOutlivesAReplacementThatComesToNothing(ReplacementEnd end) {
        SentRequest attempt = sendRequest("a", "b");
        fixture.loop.advance(PLAIN_SILENCE_MILLIS);
        SentRequest replacement = fixture.client.last();
        assertThat(replacement).isNotSameAs(attempt);
        end.apply(replacement);
        assertThat(fixture.caller.status).isZero();
        attempt.respond(200, "whole", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.status).isEqualTo(200);
        assertThat(fixture.caller.body).isEqualTo("whole");
    }

    /** The attempt that is not needed any more must not go on at its instance, whichever of the two it is. */
    @Test
    void responseOfTheSilentInstanceIsForwardedAndCancelsTheReplacement() {
        SentRequest silent = sendRequest("a", "b");
        SentRequest replacement = replace(silent);
        assertFirstResponseIsForwarded(silent, replacement, "whole");
    }

    @Test
    void responseOfTheReplacementIsForwardedAndCancelsTheSilentAttempt() {
        SentRequest silent = sendRequest("a", "b");
        SentRequest replacement = replace(silent);
        assertFirstResponseIsForwarded(replacement, silent, "other");
    }

    /** The end of the silent attempt must not end its healthy replacement. */
    @ParameterizedTest
    @EnumSource(ReplacementEnd.class)
    void replacementOutlivesTheEndOfTheSilentAttempt(ReplacementEnd end) {
        SentRequest silent = sendRequest("a", "b", "c");
        SentRequest replacement = replace(silent);
        end.apply(silent);
        assertThat(replacement.cancelled()).isFalse();
        assertThat(fixture.client.sent()).hasSize(2);
        replacement.respond(200, "other", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertAnswered("other");
    }

    /** A request must end when both attempts have, and reach no more instances than its route allows. */
    @Test
    void requestFailsOnceBothAttemptsHaveEndedInVain() {
        SentRequest silent = sendRequest("a", "b", "c");
        SentRequest replacement = replace(silent);
        replacement.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        silent.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.client.sent()).hasSize(2);
        assertThat(fixture.caller.status).isEqualTo(502);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /** The time of the request and the end of its caller must leave neither attempt at work. */
    @ParameterizedTest
    @EnumSource(RequestEnd.class)
    void endOfTheRequestCancelsBothAttempts(RequestEnd end) {
        SentRequest silent = sendRequest("a", "b");
        SentRequest replacement = replace(silent);
        end.apply(fixture);
        assertThat(silent.cancelled()).isTrue();
        assertThat(replacement.cancelled()).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /** A replacement that was not reached costs no retry; the next one beside the silent attempt costs its own. */
    @Test
    void unreachedReplacementCostsNoRetry() {
        RequestProcessorFixture calm = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        calm.register(Stage.PLAIN, "a", "b");
        calm.sendRequest("/p/x");
        SentRequest silent = sendRequest("a", "b");
        replace(silent).fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
        silent.respond(200, "whole", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertAnswered("whole");
        assertThat(drainRetries(fixture)).isEqualTo(drainRetries(calm));
    }

    /** An instance that hangs for good must not keep its request because the first replacement was not reached. */
    @Test
    void attemptThatStaysSilentIsReplacedAgainWhenItsReplacementWasNotReached() {
        SentRequest silent = sendRequest("a", "b", "c");
        SentRequest unreached = replace(silent);
        unreached.fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
        SentRequest next = replace(unreached);
        assertThat(silent.cancelled()).isFalse();
        assertFirstResponseIsForwarded(next, silent, "third");
    }

    /**
     * The replacement of an attempt that has ended was not run: it must not use up the attempts of a request that could
     * go to another instance.
     */
    @Test
    void requestOutlivesAReplacementThatDeclinesLate() {
        SentRequest silent = sendRequest("a", "b", "c");
        SentRequest replacement = replace(silent);
        silent.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        replacement.respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        assertThat(fixture.client.sent()).hasSize(3);
        fixture.client.last().respond(200, "other", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertAnswered("other");
    }
}
