package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.gateway.upstream.CollectedBytes;
import org.merlinwood.http.HttpHeader;

/** Guards against instances whose endless bodies fill the memory of an entry together, each below the limit of one. */
final class CollectedResponseTest {

    private static final int PART_BYTES = 64 << 10;

    /** Streams whose responses are collected at the same time. */
    private static final int STREAMS = 10;

    /** Most bytes that the HTTP client takes of one response. */
    private static final long STREAM_BYTES = 8 << 20;

    /** What an instance sends in place of a stream. */
    enum AnswerInPlaceOfAStream {
        FAILURE,
        UNSIGNED_SUCCESS,
        REFUSAL,
        SUCCESS_OF_ANOTHER_REQUEST;

        private static final HttpHeader ATTEMPT = FakeUpstreamProtocol.attempt(RequestProcessorFixture.ATTEMPT);

        private void sendHead(SentRequest generation) {
            switch (this) {
                case FAILURE -> generation.head(500, FakeUpstreamProtocol.SIGNED, ATTEMPT);
                case UNSIGNED_SUCCESS -> generation.head(200, ATTEMPT);
                case REFUSAL -> generation.head(503, FakeUpstreamProtocol.NOT_RUN, ATTEMPT);
                case SUCCESS_OF_ANOTHER_REQUEST ->
                    generation.head(200, FakeUpstreamProtocol.SIGNED, FakeUpstreamProtocol.attempt("another"));
            }
        }
    }

    @Test
    void plainResponseThatExceedsTheLimitIsRetriedAndItsBytesAreNotDelivered() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        for (long sent = 0; sent <= CollectedBytes.MAXIMUM_BYTES; sent += PART_BYTES) {
            fixture.client.last().bytes("x".repeat(PART_BYTES));
        }
        assertThat(fixture.client.sent()).hasSize(2);
        assertThat(fixture.client.sent().getFirst().cancelled()).isTrue();
        fixture.client.last().respond(200, "whole", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.body).isEqualTo("whole");
    }

    /**
     * Guards against instances that send bodies without end in place of streams, which together fill the memory of an
     * entry until its process ends.
     */
    @ParameterizedTest
    @EnumSource(AnswerInPlaceOfAStream.class)
    void bodiesInPlaceOfStreamsEndOnceAllTogetherExceedTheLimit(AnswerInPlaceOfAStream answer) {
        long received = 0;
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        for (int instance = 0; instance < 4 * STREAMS; instance++) {
            fixture.register(Stage.DECODE, "d" + instance);
        }
        for (int request = 0; request < STREAMS; request++) {
            fixture.sendRequest("/p/x-" + request);
            fixture.grantMemory("hold-" + request);
            SentRequest generation = fixture.client.last();
            answer.sendHead(generation);
            for (long sent = 0; sent < STREAM_BYTES && !generation.ended(); sent += PART_BYTES) {
                generation.bytes("x".repeat(PART_BYTES));
                received += PART_BYTES;
            }
        }
        assertThat(received).isLessThanOrEqualTo(2 * CollectedBytes.MAXIMUM_BYTES);
    }

    @Test
    void bytesOfFailedResponsesDoNotCount() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.NON_IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        for (int request = 0; request < 3; request++) {
            fixture.sendRequest("/p/x");
            fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
            fixture.client.last().bytes("x".repeat((int) CollectedBytes.MAXIMUM_BYTES - 1));
            assertThat(fixture.client.last().cancelled()).isFalse();
            fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
            fixture.clock.advanceMillis(10_000);
        }
    }
}
