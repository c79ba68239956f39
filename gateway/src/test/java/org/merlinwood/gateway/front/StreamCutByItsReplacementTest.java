package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.FIRST_EVENT;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.SILENCE_MILLIS;
import static org.merlinwood.gateway.front.SentStream.assertComplete;
import static org.merlinwood.gateway.front.SentStream.begin;
import static org.merlinwood.gateway.front.SentStream.drainRetries;
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

    /** A sound instance falls silent; the replacement declines without running the request. */
    @Test
    void streamOutlivesAReplacementThatDeclines() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
        SentRequest replacement = replace(fixture, attempt);
        drainRetries(fixture);
        replacement.respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        assertThat(fixture.caller.aborted).isFalse();
    }

    /** The replacement can't be reached and no other instance has memory. */
    @Test
    void streamOutlivesAReplacementThatCannotBeReached() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
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
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
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
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
        SentRequest replacement = replace(fixture, attempt);
        drainRetries(fixture);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        end.apply(replacement);
        assertComplete(fixture);
    }

    /** A stream must not hold events of two instances: what the silent one sends late is left out. */
    @Test
    void eventsOfTheSilentInstanceAreLeftOutOnceItsReplacementIsAccepted() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
        SentRequest replacement = replace(fixture, attempt);
        attempt.bytes("id: 2\ndata: late\n\n");
        replacement.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(attempt.cancelled()).isTrue();
        replacement.bytes(SECOND_EVENT);
        replacement.end();
        assertComplete(fixture);
    }

    /** Guards against a stream that two instances work on, since the replacement takes long to begin. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void onlyOneAttemptIsOpenAfterTheTimeThatTwoMayBe(boolean goesOn) {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
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
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
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
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
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
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        SentRequest attempt = fixture.client.last();
        begin(attempt);
        SentRequest replacement = replace(fixture, attempt);
        fixture.caller.disconnect();
        assertThat(attempt.cancelled()).isTrue();
        assertThat(replacement.cancelled()).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
        fixture.loop.advance(OVERLAP_MILLIS);
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
    }
}
