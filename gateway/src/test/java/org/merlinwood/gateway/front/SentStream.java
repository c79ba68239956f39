package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/** Steps of tests whose resumable stream was sent to the decode instance d1, while d2 could take it over. */
final class SentStream {

    /** Longer than an instance may be silent before the entry looks for another one, in milliseconds. */
    static final long SILENCE_MILLIS = 1_500;

    static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

    private SentStream() {}

    /** Returns a fixture whose last request is the generation of the stream at d1. */
    static RequestProcessorFixture fixtureWithSentRequest() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.register(Stage.DECODE, "d1");
        fixture.register(Stage.PREFILL, "f1");
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        fixture.client.last().respond(200, "handle-1");
        fixture.register(Stage.DECODE, "d2");
        return fixture;
    }

    /** Returns a fixture whose last request is the generation of the stream at d1, which has sent its first event. */
    static RequestProcessorFixture fixtureWithBegunStream() {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        begin(fixture.client.last());
        return fixture;
    }

    /** Sends the head of the response and its first event. */
    static void begin(SentRequest attempt) {
        attempt.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        attempt.bytes(FIRST_EVENT);
    }

    /** Keeps an attempt silent until the prompt of its replacement was sent to f1, which is returned. */
    static SentRequest prepareReplacement(RequestProcessorFixture fixture, SentRequest attempt) {
        fixture.staySilent(attempt, SILENCE_MILLIS);
        fixture.grantMemory("hold-2");
        SentRequest prefill = fixture.client.last();
        assertThat(prefill.request().path()).isEqualTo("/f1/prefill");
        return prefill;
    }

    /** Keeps an attempt silent until its replacement was sent to d2, which is returned. */
    static SentRequest replace(RequestProcessorFixture fixture, SentRequest attempt) {
        prepareReplacement(fixture, attempt).respond(200, "handle-2");
        SentRequest replacement = fixture.client.last();
        assertThat(replacement.request().path()).isEqualTo("/d2/run");
        return replacement;
    }

    /** Checks that the caller has received both events and the end of the response. */
    static void assertComplete(RequestProcessorFixture fixture) {
        assertThat(fixture.caller.body).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        assertThat(fixture.caller.ended).isTrue();
        assertThat(fixture.caller.aborted).isFalse();
    }

    /** Consumes the retries that the allowance has left, and returns their number. */
    static int drainRetries(RequestProcessorFixture fixture) {
        int left = 0;
        while (fixture.retryAllowance.tryAcquire("service")) {
            left++;
        }
        return left;
    }
}
