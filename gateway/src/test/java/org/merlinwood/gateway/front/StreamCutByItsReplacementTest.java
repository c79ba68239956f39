package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.FIRST_EVENT;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.SILENCE_MILLIS;
import static org.merlinwood.gateway.front.SentStream.assertComplete;
import static org.merlinwood.gateway.front.SentStream.drainRetries;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;
import static org.merlinwood.gateway.front.SentStream.fixtureWithSentRequest;
import static org.merlinwood.gateway.front.SentStream.replace;

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
 * Guards against streams that are cut because the replacement of their silent instance comes to nothing: until an
 * instance has accepted it, the silent attempt is the only one that is sure to have been run.
 */
final class StreamCutByItsReplacementTest {

    /** Longest time for which a stream may be open at two instances, in milliseconds. */
    private static final long OVERLAP_MILLIS = 200;

    /** How a replacement comes to nothing before an instance has accepted it. */
    enum ReplacementEnd {
        DECLINED,
        UNREACHED,
        BROKEN,
        FAILED;

        private void apply(SentRequest replacement) {
            switch (this) {
                case DECLINED -> replacement.respond(503, "", FakeUpstreamProtocol.NOT_RUN);
                case UNREACHED -> replacement.fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
                case BROKEN -> replacement.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
                case FAILED -> replacement.respond(500, "", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
            }
        }
    }

    /** How the silent instance ends its attempt without having gone on with the stream. */
    enum SilentEnd {
        DECLINED,
        NOT_ITS_OWN,
        ENDED_INSIDE_FIRST_EVENT;

        private void apply(SentRequest silent) {
            switch (this) {
                case DECLINED -> silent.respond(503, "", FakeUpstreamProtocol.NOT_RUN);
                case NOT_ITS_OWN -> silent.respond(502, "");
                case ENDED_INSIDE_FIRST_EVENT -> {
                    silent.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
                    silent.bytes("id: 1\nda");
                    silent.end();
                }
            }
        }
    }

    /** A sound instance falls silent; the replacement declines without running the request. */
    @Test
    void streamOutlivesAReplacementThatDeclines() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        drainRetries(fixture);
        replacement.respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        assertThat(fixture.caller.aborted).isFalse();
    }

    /** The replacement can't be reached and no other instance has memory. */
    @Test
    void streamOutlivesAReplacementThatCannotBeReached() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        fixture.fleet.remove("d1");
        fixture.fleet.remove("d2");
        replacement.fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
        fixture.loop.advance(2_600);
        assertThat(fixture.caller.aborted).isFalse();
    }

    /** Whatever ends the replacement, the response of the silent instance must still reach the caller. */
    @ParameterizedTest
    @EnumSource(ReplacementEnd.class)
    void silentInstanceGoesOnAfterItsReplacementCameToNothing(ReplacementEnd end) {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        drainRetries(fixture);
        end.apply(replacement);
        assertThat(attempt.cancelled()).isFalse();
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        assertComplete(fixture);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /** The same where the silent instance goes on while nothing is known of the replacement yet. */
    @ParameterizedTest
    @EnumSource(ReplacementEnd.class)
    void eventsThatComeBeforeTheReplacementCameToNothingReachTheCaller(ReplacementEnd end) {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        drainRetries(fixture);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        end.apply(replacement);
        assertComplete(fixture);
    }

    /** Guards against a stream that two instances work on, since the replacement takes long to begin. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void onlyOneAttemptIsOpenAfterTheTimeThatTwoMayBe(boolean goesOn) {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        fixture.loop.advance(OVERLAP_MILLIS - 1);
        if (goesOn) {
            attempt.bytes(SECOND_EVENT);
        }
        assertThat(attempt.cancelled()).isFalse();
        fixture.loop.advance(1);
        assertThat(attempt.cancelled()).isEqualTo(!goesOn);
        assertThat(replacement.cancelled()).isEqualTo(goesOn);
        SentRequest last = goesOn ? attempt : replacement;
        if (!goesOn) {
            replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
            replacement.bytes(SECOND_EVENT);
        }
        last.end();
        assertComplete(fixture);
    }

    /** The silent instance is lost while its replacement is on its way: that one is the retry. */
    @Test
    void replacementIsKeptWhenTheSilentInstanceIsLost() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        drainRetries(fixture);
        attempt.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.aborted).isFalse();
        replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        replacement.bytes(SECOND_EVENT);
        replacement.end();
        assertComplete(fixture);
    }

    /** A replacement that was dropped may have run: it counts against the attempts of the route. */
    @Test
    void droppedReplacementThatWasSentCountsAsAnAttempt() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        replace(fixture, attempt);
        attempt.bytes(SECOND_EVENT);
        fixture.loop.advance(OVERLAP_MILLIS);
        int sent = fixture.client.sent().size();
        fixture.staySilent(attempt, 2 * SILENCE_MILLIS);
        assertThat(fixture.client.sent()).hasSize(sent);
    }

    /** A caller that leaves must leave no work behind, neither at the silent instance nor at its replacement. */
    @Test
    void callerDisconnectEndsBothAttempts() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        fixture.caller.disconnect();
        assertThat(attempt.cancelled()).isTrue();
        assertThat(replacement.cancelled()).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
        fixture.loop.advance(OVERLAP_MILLIS);
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
    }

    /**
     * An event that is ready must not wait for the word of a replacement: the instance that sends first goes on. A
     * stream must not hold events of two instances: what the other one sends late is left out.
     */
    @Test
    void eventOfTheSilentInstanceIsForwardedAtOnceAndEndsItsReplacement() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        attempt.bytes(SECOND_EVENT);
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        assertThat(replacement.cancelled()).isTrue();
        assertThat(attempt.cancelled()).isFalse();
        replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        replacement.bytes("id: 2\ndata: late\n\n");
        replacement.end();
        assertThat(fixture.caller.ended).isFalse();
        attempt.end();
        assertComplete(fixture);
    }

    /** The same where the replacement is accepted first: what the silent instance sends late is left out. */
    @Test
    void eventsOfTheSilentInstanceAreLeftOutOnceItsReplacementIsAccepted() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(attempt.cancelled()).isTrue();
        attempt.bytes("id: 2\ndata: late\n\n");
        attempt.end();
        replacement.bytes(SECOND_EVENT);
        replacement.end();
        assertComplete(fixture);
    }

    /** A stream that its silent instance has completed must not be thrown away for a replacement that only begins. */
    @Test
    void completeStreamOfTheSilentInstanceIsNotThrownAwayForItsReplacement() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        replacement.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertComplete(fixture);
    }

    /** The route's timeout must not cut a stream whose last event and end were received before it. */
    @Test
    void completeStreamIsNotCutByTheTimeoutOfItsRouteBesideItsReplacement() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.loop.advance(1_000);
        attempt.bytes(SECOND_EVENT);
        fixture.loop.advance(1_000);
        attempt.bytes("id: 3\ndata: c\n\n");
        fixture.loop.advance(1_300);
        fixture.grantMemory("hold-2");
        fixture.loop.advance(RequestProcessorFixture.ROUTE_TIMEOUT_MILLIS - 3_300 - OVERLAP_MILLIS / 2);
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
        attempt.bytes("id: 4\ndata: d\n\n");
        attempt.end();
        fixture.loop.advance(OVERLAP_MILLIS);
        assertThat(fixture.caller.aborted).isFalse();
        assertThat(fixture.caller.ended).isTrue();
    }

    /** An instance that was silent and then ends its attempt in vain must not end the replacement with it. */
    @ParameterizedTest
    @EnumSource(SilentEnd.class)
    void replacementGoesOnWhenTheSilentInstanceEndsInVain(SilentEnd end) {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        end.apply(attempt);
        fixture.loop.advance(OVERLAP_MILLIS);
        assertThat(replacement.cancelled()).isFalse();
        replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        replacement.bytes(FIRST_EVENT + SECOND_EVENT);
        replacement.end();
        assertComplete(fixture);
    }

    /** The same for a stream that has begun: its instance breaks off inside an event. */
    @Test
    void replacementGoesOnWhenTheSilentInstanceBreaksOffInsideAnEvent() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        attempt.bytes("id: 2\nda");
        attempt.end();
        fixture.loop.advance(OVERLAP_MILLIS);
        assertThat(replacement.cancelled()).isFalse();
        replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        replacement.bytes(SECOND_EVENT);
        replacement.end();
        assertComplete(fixture);
    }

    /** The head of a refusal says that the replacement comes to nothing: the silent attempt must outlive it. */
    @Test
    void silentAttemptIsNotEndedForAReplacementWhoseHeadDeclines() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        fixture.loop.advance(OVERLAP_MILLIS - 1);
        replacement.head(503, FakeUpstreamProtocol.NOT_RUN);
        fixture.loop.advance(1);
        assertThat(attempt.cancelled()).isFalse();
    }

    /** A request must not be sent to more instances than its route allows because some of them decline it. */
    @Test
    void declinedReplacementsCountAgainstTheInstancesOfTheRoute() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        replace(fixture, attempt).respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        fixture.fleet.remove("d2");
        fixture.register(Stage.DECODE, "d3");
        fixture.staySilent(attempt, SILENCE_MILLIS);
        if (fixture.client.last().request().path().startsWith("/d3/hold/")) {
            fixture.grantMemory("hold-3");
            fixture.client.last().respond(200, "handle-3");
        }
        assertThat(fixture.hasSent("/d1/run")).isTrue();
        assertThat(fixture.hasSent("/d2/run")).isTrue();
        assertThat(fixture.hasSent("/d3/run")).isFalse();
    }
}
