package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.FIRST_EVENT;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.assertComplete;
import static org.merlinwood.gateway.front.SentStream.begin;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.http.HttpHeader;

/**
 * Guards against streams of a service without engines that are collected: their callers get no event until the last one
 * has come, and leave before.
 */
final class PlainStreamTest {

    /** How an instance breaks a stream off. */
    enum BreakOff {
        CONNECTION_LOST,
        INSIDE_AN_EVENT;

        private void apply(SentRequest attempt) {
            switch (this) {
                case CONNECTION_LOST -> attempt.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
                case INSIDE_AN_EVENT -> {
                    attempt.bytes("id: 2\nda");
                    attempt.end();
                }
            }
        }
    }

    private static RequestProcessorFixture fixtureWithSentStream(boolean resumable) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, resumable, false);
        fixture.register(Stage.PLAIN, "a", "b", "c");
        fixture.sendRequest("/p/x");
        return fixture;
    }

    private static RequestProcessorFixture fixtureWithBegunStream(boolean resumable) {
        RequestProcessorFixture fixture = fixtureWithSentStream(resumable);
        begin(fixture.client.last());
        return fixture;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void eventsAreForwardedAsTheyArrive(boolean resumable) {
        RequestProcessorFixture fixture = fixtureWithBegunStream(resumable);
        assertThat(fixture.caller.status).isEqualTo(200);
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
        fixture.client.last().bytes("id: 2\nda");
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
        fixture.client.last().bytes("ta: b\n\n");
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        assertThat(fixture.caller.ended).isFalse();
        fixture.client.last().end();
        assertComplete(fixture);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    @Test
    void callerThatLeavesEndsTheStreamAtItsInstance() {
        RequestProcessorFixture fixture = fixtureWithBegunStream(false);
        fixture.caller.disconnect();
        assertThat(fixture.client.last().cancelled()).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource
    void streamThatMayNotBeResumedIsBrokenOffWithItsInstance(BreakOff breakOff) {
        RequestProcessorFixture fixture = fixtureWithBegunStream(false);
        breakOff.apply(fixture.client.last());
        assertThat(fixture.client.sent()).hasSize(1);
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
        assertThat(fixture.caller.aborted).isTrue();
    }

    /** Guards as well against the rest of a stream that comes from another software version. */
    @ParameterizedTest
    @EnumSource
    void streamGoesOnBehindItsLastEventAtItsVersion(BreakOff breakOff) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.sendRequest("/p/x");
        fixture.registerVersion("v2", Stage.PLAIN, "b", "c");
        fixture.register(Stage.PLAIN, "d");
        begin(fixture.client.last());
        breakOff.apply(fixture.client.last());
        SentRequest next = fixture.client.last();
        assertThat(next.request().path()).isEqualTo("/d/run");
        assertThat(next.request().headers()).contains(new HttpHeader("behind", "1"));
        next.respond(200, SECOND_EVENT, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertComplete(fixture);
    }

    /** Guards against a caller that takes its stream up again and gets it from its first event. */
    @Test
    void streamThatIsTakenUpAgainGoesOnBehindTheLastEventOfItsCaller() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.registerVersion("v2", Stage.PLAIN, "b");
        fixture.sendResumingRequest("/p/x", 1);
        assertThat(fixture.client.last().request().path()).isEqualTo("/a/run");
        assertThat(fixture.client.last().request().headers()).contains(new HttpHeader("behind", "1"));
    }

    @Test
    void streamWhoseVersionIsGoneIsRefusedAtOnce() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true, false);
        fixture.registerVersion("v2", Stage.PLAIN, "b");
        fixture.sendResumingRequest("/p/x", 1);
        assertThat(fixture.client.sent()).isEmpty();
        assertThat(fixture.caller.status).isEqualTo(ResultCode.STREAM_VERSION_GONE.httpStatus());
    }

    @Test
    void streamGoesOnAtItsOnlyInstance() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.sendRequest("/p/x");
        begin(fixture.client.last());
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.client.sent()).hasSize(2);
        assertThat(fixture.client.last().request().headers()).contains(new HttpHeader("behind", "1"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void silentInstanceIsReplacedOnlyIfTheStreamMayBeResumed(boolean resumable) {
        RequestProcessorFixture fixture = fixtureWithBegunStream(resumable);
        fixture.staySilent(fixture.client.last(), SentStream.SILENCE_MILLIS);
        assertThat(fixture.client.sent()).hasSize(resumable ? 2 : 1);
        assertThat(fixture.caller.aborted).isFalse();
    }

    @Test
    void streamThatExceedsTheTimeOfItsRouteIsBrokenOff() {
        RequestProcessorFixture fixture = fixtureWithBegunStream(false);
        fixture.loop.advance(RequestProcessorFixture.ROUTE_TIMEOUT_MILLIS);
        assertThat(fixture.caller.aborted).isTrue();
        assertThat(fixture.client.last().cancelled()).isTrue();
    }

    @Test
    void streamThatNoInstanceTakesIsRefusedWithATimeToComeBack() {
        RequestProcessorFixture fixture = fixtureWithSentStream(false);
        fixture.client.last().respond(503, "full", FakeUpstreamProtocol.NOT_RUN);
        assertThat(fixture.client.sent()).hasSize(2);
        fixture.client.last().respond(503, "full", FakeUpstreamProtocol.NOT_RUN);
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.caller.hasRetryAfter()).isTrue();
    }

    /** Guards against a refusal that says "not run" of a request which an instance has run. */
    @Test
    void errorResponseIsForwardedWhenNoOtherInstanceIsLeft() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.sendRequest("/p/x");
        fixture.client.last().respond(500, "its error", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.status).isEqualTo(500);
        assertThat(fixture.caller.body).isEqualTo("its error");
    }

    @Test
    void responseOfAnotherRequestIsNotForwarded() {
        RequestProcessorFixture fixture = fixtureWithSentStream(false);
        fixture.client
                .last()
                .respond(200, FIRST_EVENT, FakeUpstreamProtocol.SIGNED, FakeUpstreamProtocol.attempt("attempt-0"));
        assertThat(fixture.caller.status).isEqualTo(502);
    }
}
