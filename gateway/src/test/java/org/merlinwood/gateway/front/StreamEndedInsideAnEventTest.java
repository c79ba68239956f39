package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.FIRST_EVENT;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.assertComplete;
import static org.merlinwood.gateway.front.SentStream.begin;
import static org.merlinwood.gateway.front.SentStream.drainRetries;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;
import static org.merlinwood.gateway.front.SentStream.fixtureWithSentRequest;
import static org.merlinwood.gateway.front.SentStream.prepareReplacement;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.http.HttpHeader;

/**
 * Guards against a stream that was broken off and is taken for complete: a response without a length ends with its
 * connection, and one that ends inside an event has not come to its end.
 */
final class StreamEndedInsideAnEventTest {

    @ParameterizedTest
    @ValueSource(strings = {"i", "id: 2\ndata: b", "id: 2\ndata: b\n"})
    void streamContinuesBehindItsLastCompleteEvent(String part) {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.client.last().bytes(part);
        fixture.client.last().end();
        assertThat(fixture.caller.ended).isFalse();
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().headers()).contains(new HttpHeader("behind", "1"));
        fixture.client.last().respond(200, SECOND_EVENT, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertComplete(fixture);
    }

    @Test
    void streamThatMayNotBeResumedIsNotEndedAsComplete() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, false);
        fixture.register(Stage.DECODE, "d1", "d2");
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        begin(fixture.client.last());
        fixture.client.last().bytes("id: 2\nda");
        fixture.client.last().end();
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
        assertThat(fixture.caller.ended).isFalse();
        assertThat(fixture.caller.aborted).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /** A caller that has received nothing yet gets an error response, not a part of an event. */
    @Test
    void streamThatEndsInsideItsFirstEventIsAnsweredWithAnError() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        drainRetries(fixture);
        fixture.client.last().respond(200, "id: 1\nda", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.status).isEqualTo(502);
        assertThat(fixture.caller.body).doesNotContain("id: 1");
    }

    /** The replacement of a silent instance is its retry if that instance breaks off. */
    @Test
    void replacementIsUsedWhenTheSilentInstanceEndsInsideAnEvent() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        prepareReplacement(fixture, attempt);
        drainRetries(fixture);
        attempt.bytes("id: 2\nda");
        attempt.end();
        fixture.client.last().respond(200, "handle-2");
        fixture.client.last().respond(200, SECOND_EVENT, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertComplete(fixture);
    }

    /** The same for a stream of a service without engines. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void plainStreamContinuesOrIsBrokenOff(boolean resumable) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, resumable, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        String part = FIRST_EVENT + "id: 2\nda";
        fixture.client.last().respond(200, part, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT);
        assertThat(fixture.caller.ended).isFalse();
        assertThat(fixture.caller.aborted).isEqualTo(!resumable);
        if (resumable) {
            assertThat(fixture.client.last().request().headers()).contains(new HttpHeader("behind", "1"));
            fixture.client.last().respond(200, SECOND_EVENT, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
            assertComplete(fixture);
        }
    }

    /** A caller of such a stream that has received nothing yet gets an error response. */
    @Test
    void plainStreamThatEndsInsideItsFirstEventIsAnsweredWithAnError() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, false, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        fixture.client.last().respond(200, "id: 1\nda", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.status).isEqualTo(502);
        assertThat(fixture.caller.body).doesNotContain("id: 1");
    }
}
