package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.FIRST_EVENT;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.SILENCE_MILLIS;
import static org.merlinwood.gateway.front.SentStream.assertComplete;
import static org.merlinwood.gateway.front.SentStream.begin;
import static org.merlinwood.gateway.front.SentStream.drainRetries;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;
import static org.merlinwood.gateway.front.SentStream.fixtureWithSentRequest;
import static org.merlinwood.gateway.front.SentStream.prepareReplacement;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;

/**
 * Guards against streams that are cut because their instance is silent for a while: a silent attempt may be replaced,
 * but never given up for nothing.
 */
final class SilentStreamTest {

    /** Why no other instance can take over the stream. */
    enum Obstacle {
        NO_RETRY_ALLOWED,
        NO_OTHER_INSTANCE,
        NO_INSTANCE_REGISTERED;

        private void apply(RequestProcessorFixture fixture) {
            switch (this) {
                case NO_RETRY_ALLOWED -> drainRetries(fixture);
                case NO_OTHER_INSTANCE -> fixture.fleet.remove("d2");
                case NO_INSTANCE_REGISTERED -> {
                    fixture.fleet.remove("d1");
                    fixture.fleet.remove("d2");
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Obstacle.class)
    void streamOfASilentInstanceGoesOnWhenNoOtherInstanceCanTakeItOver(Obstacle obstacle) {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        obstacle.apply(fixture);
        fixture.staySilent(attempt, SILENCE_MILLIS);
        assertThat(attempt.cancelled()).isFalse();
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        assertComplete(fixture);
    }

    @ParameterizedTest
    @EnumSource(Obstacle.class)
    void responseOfASilentInstanceMayBeginLateWhenNoOtherInstanceCanTakeItOver(Obstacle obstacle) {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        obstacle.apply(fixture);
        fixture.staySilent(attempt, SILENCE_MILLIS);
        begin(attempt);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        assertComplete(fixture);
    }

    @Test
    void streamGoesOnWhenItsLastAttemptIsSilent() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.client.last().fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        SentRequest attempt = fixture.client.last();
        attempt.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        fixture.staySilent(attempt, SILENCE_MILLIS);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        assertComplete(fixture);
    }

    /** The other instance declines memory; the stream must neither end nor wait for it in vain. */
    @Test
    void streamGoesOnWhenTheOtherInstanceHasNoMemory() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.staySilent(attempt, SILENCE_MILLIS);
        fixture.client.last().respond(503, "");
        fixture.staySilent(attempt, SILENCE_MILLIS);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        assertComplete(fixture);
    }

    /** What was reserved for the replacement must be released, and nothing must run twice. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void replacementIsDroppedWhenTheSilentInstanceGoesOn(int answeredSteps) {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.staySilent(attempt, SILENCE_MILLIS);
        for (int step = 0; step < answeredSteps; step++) {
            fixture.client.last().respond(200, "hold-2");
        }
        SentRequest lastStep = fixture.client.last();
        attempt.bytes(SECOND_EVENT);
        if (!lastStep.ended()) {
            lastStep.respond(200, "hold-2");
        }
        attempt.end();
        assertComplete(fixture);
        assertThat(fixture.hasSent("/d2/run")).isFalse();
        assertThat(fixture.hasSent("/d2/release-hold/hold-2")).isEqualTo(answeredSteps > 0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void silentAttemptIsCancelledOnlyWhenItsReplacementIsAccepted(boolean begun) {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        if (begun) {
            begin(attempt);
        }
        fixture.staySilent(attempt, SILENCE_MILLIS);
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        SentRequest replacement = fixture.client.last();
        assertThat(replacement.request().path()).isEqualTo("/d2/run");
        assertThat(attempt.cancelled()).isFalse();
        replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(attempt.cancelled()).isTrue();
        replacement.bytes(begun ? SECOND_EVENT : FIRST_EVENT + SECOND_EVENT);
        replacement.end();
        assertComplete(fixture);
    }

    @Test
    void replacementContinuesWhenTheSilentInstanceIsLost() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.staySilent(attempt, SILENCE_MILLIS);
        attempt.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.aborted).isFalse();
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        fixture.client.last().bytes(SECOND_EVENT);
        fixture.client.last().end();
        assertComplete(fixture);
    }

    /** An instance may be lost while its replacement finds no memory: then the stream ends, as without the silence. */
    @Test
    void streamEndsWhenTheSilentInstanceIsLostAndNoneHasMemory() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.fleet.remove("d2");
        fixture.staySilent(attempt, SILENCE_MILLIS);
        attempt.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.fleet.remove("d1");
        fixture.loop.advance(3_000);
        assertThat(fixture.caller.aborted).isTrue();
    }

    @Test
    void callerDisconnectEndsTheSilentAttemptAndItsReplacement() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest prefill = prepareReplacement(fixture, attempt);
        fixture.caller.disconnect();
        assertThat(attempt.cancelled()).isTrue();
        assertThat(prefill.cancelled()).isTrue();
        assertThat(fixture.hasSent("/d2/release-hold/hold-2")).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /** Without replacement the attempt ends with the time of its caller, not before. */
    @Test
    void silentStreamEndsAtItsDeadline() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        Obstacle.NO_RETRY_ALLOWED.apply(fixture);
        assertThat(attempt.request().readTimeoutMillis()).isEqualTo(RequestProcessorFixture.CALLER_TIME_MILLIS);
        fixture.staySilent(attempt, RequestProcessorFixture.CALLER_TIME_MILLIS - 1);
        assertThat(fixture.caller.aborted).isFalse();
        attempt.fail(ResultCode.UPSTREAM_TIMEOUT, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.aborted).isTrue();
    }

    /** Guards against a stream that fails although its replacement was ready, since the silent instance declined. */
    @Test
    void replacementIsUsedWhenTheSilentInstanceDeclinesAtLast() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        prepareReplacement(fixture, attempt);
        drainRetries(fixture);
        attempt.respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        assertThat(fixture.caller.status).isZero();
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
    }

    /** Guards against a stream that is cut although its replacement was ready, since the silent instance broke off. */
    @Test
    void replacementIsUsedWhenTheSilentInstanceFailsAtLast() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        prepareReplacement(fixture, attempt);
        drainRetries(fixture);
        attempt.bytes("id: 2\nda");
        attempt.fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.aborted).isFalse();
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
    }

    /** Guards against an instance that pauses again and again and has the prompt computed for nothing each time. */
    @Test
    void repeatedSilenceDoesNotComputeThePromptAgainAndAgain() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        attempt.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        for (int event = 1; event <= 3; event++) {
            attempt.bytes("id: " + event + "\ndata: a\n\n");
            fixture.staySilent(attempt, 1_250);
            fixture.grantMemory("hold-" + event);
        }
        attempt.bytes("id: 4\ndata: a\n\n");
        assertThat(fixture.client.sent().stream()
                        .filter(sent -> sent.request().path().equals("/f1/prefill")))
                .hasSizeLessThanOrEqualTo(2);
    }

    /** Guards against a stream that ends with a bare close although its caller has not received anything yet. */
    @Test
    void streamWithoutAnyEventEndsWithAnErrorResponse() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        attempt.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        drainRetries(fixture);
        attempt.fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.aborted).isFalse();
        assertThat(fixture.caller.status).isGreaterThanOrEqualTo(502);
    }

    /** Guards against work for a caller whose time is over. */
    @Test
    void noReplacementIsPreparedAfterTheTimeOfTheCaller() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        for (int event = 2; event <= 4; event++) {
            fixture.loop.advance(1_000);
            attempt.bytes("id: " + event + "\ndata: a\n\n");
        }
        int sent = fixture.client.sent().size();
        fixture.loop.advance(1_250);
        assertThat(fixture.client.sent()).hasSize(sent);
    }

    /** Guards against a retry of an attempt that ended because the time of its caller was over. */
    @Test
    void attemptThatEndsWithTheTimeOfTheCallerIsNotRetried() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        fixture.fleet.remove("d2");
        fixture.loop.advance(3_750);
        attempt.bytes("");
        fixture.loop.advance(250);
        fixture.register(Stage.DECODE, "d2");
        int sent = fixture.client.sent().size();
        attempt.fail(ResultCode.UPSTREAM_TIMEOUT, ExecutionState.UNKNOWN);
        fixture.loop.advance(100);
        assertThat(fixture.client.sent()).hasSize(sent);
    }
}
