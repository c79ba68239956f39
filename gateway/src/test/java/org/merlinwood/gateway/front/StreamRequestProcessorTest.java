package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.http.HttpHeader;

final class StreamRequestProcessorTest {

    private static RequestProcessorFixture fixture(boolean resumable) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, resumable);
        fixture.register(Stage.DECODE, "d1", "d2");
        fixture.register(Stage.PREFILL, "f1");
        return fixture;
    }

    private static RequestProcessorFixture fixtureWithStartedStream(boolean resumable) {
        RequestProcessorFixture fixture = fixture(resumable);
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        fixture.client.last().respond(200, "handle-1");
        fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        return fixture;
    }

    @Test
    void reservesMemoryThenRunsPrefillThenStreamsResponse() {
        RequestProcessorFixture fixture = fixtureWithStartedStream(false);
        fixture.client.last().bytes("id: 1\ndata: a\n\n");
        assertThat(fixture.caller.body).isEqualTo("id: 1\ndata: a\n\n");
        fixture.client.last().bytes("id: 2\ndata: b\n\n");
        fixture.client.last().end();
        assertThat(fixture.caller.ended).isTrue();
        assertThat(fixture.client.sent().get(0).request().path()).contains("/hold/");
        assertThat(fixture.client.sent().get(1).request().path()).contains("/hold/");
        assertThat(fixture.client.sent().get(2).request().path()).isEqualTo("/f1/prefill");
        assertThat(fixture.client.last().request().headers())
                .contains(new HttpHeader("hold", "hold-1"), new HttpHeader("prefill", "handle-1"));
    }

    @Test
    void interruptedResumableStreamContinuesAfterLastCompleteEvent() {
        RequestProcessorFixture fixture = fixtureWithStartedStream(true);
        fixture.client.last().bytes("id: 1\ndata: a\n\nid: 2\nda");
        fixture.client.last().fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().headers()).contains(new HttpHeader("behind", "1"));
        fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        fixture.client.last().bytes("id: 2\ndata: b\n\n");
        fixture.client.last().end();
        assertThat(fixture.caller.body).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(fixture.caller.ended).isTrue();
    }

    /**
     * Guards against a stream that is interrupted twice in a row: the caller resumes it here after an event, and the
     * next instance is lost between the response head and the first event. The stream must not begin anew.
     */
    @Test
    void streamInterruptedBeforeItsFirstEventContinuesAfterTheEventThatTheCallerNamed() {
        RequestProcessorFixture fixture = fixture(true);
        fixture.sendResumingRequest("/p/x", 8);
        fixture.grantMemory("hold-1");
        fixture.client.last().respond(200, "handle-1");
        assertThat(fixture.client.last().request().headers()).contains(new HttpHeader("behind", "8"));
        fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().headers()).contains(new HttpHeader("behind", "8"));
    }

    @Test
    void interruptedNonResumableStreamIsAborted() {
        RequestProcessorFixture fixture = fixtureWithStartedStream(false);
        fixture.client.last().bytes("id: 1\ndata: a\n\n");
        fixture.client.last().fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.aborted).isTrue();
        assertThat(fixture.caller.ended).isFalse();
    }

    /**
     * Guards against a caller who is told nothing: no error response fits behind the head of a response, so a stream
     * that can't go on must end with its connection.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void startedStreamIsAbortedAtTheTimeoutOfItsRoute(boolean resumable) {
        RequestProcessorFixture fixture = fixtureWithStartedStream(resumable);
        fixture.client.last().bytes("id: 1\ndata: a\n\n");
        fixture.loop.advance(RequestProcessorFixture.ROUTE_TIMEOUT_MILLIS);
        assertThat(fixture.caller.aborted).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /**
     * Guards against the same where other entries report, while the stream is interrupted, that its request is blocked.
     */
    @Test
    void startedStreamIsAbortedWhenItsRequestIsBlocked() {
        RequestProcessorFixture fixture = fixtureWithStartedStream(true);
        fixture.client.last().bytes("id: 1\ndata: a\n\n");
        fixture.blockLastRequest();
        fixture.client.last().fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.caller.aborted).isTrue();
    }

    @Test
    void attemptWithUnknownOutcomeIsNeitherRetriedNorReportedAsNotRun() {
        RequestProcessorFixture fixture = fixture(false);
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        fixture.client.last().respond(200, "handle-1");
        int requestCount = fixture.client.sent().size();
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.client.sent()).hasSize(requestCount);
        assertThat(fixture.caller.status).isEqualTo(502);
    }

    /**
     * Guards against a burst in which many entries choose the same prefill instances from old status messages: a prompt
     * that an instance declines has arrived there, and the generation arrives in addition. Once the allowance is
     * overdrawn, decode instances compute the prompts.
     */
    @Test
    void declinedPrefillsCountAsRetriesAndAreNotAttemptedBeyondTheAllowance() {
        RequestProcessorFixture fixture = fixture(false);
        while (fixture.retryAllowance.tryAcquire("service")) {}
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        assertThat(fixture.client.last().request().path()).isEqualTo("/f1/prefill");
        fixture.client.last().respond(503, "");
        assertThat(fixture.client.last().request().path()).endsWith("/run");
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-2");
        assertThat(fixture.client.last().request().path()).endsWith("/run");
    }

    @Test
    void missingPrefillResultMakesInstanceComputePromptItself() {
        RequestProcessorFixture fixture = fixture(false);
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        fixture.client.last().respond(200, "handle-1");
        String firstPath = fixture.client.last().request().path();
        fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        assertThat(fixture.client.last().request().path()).isEqualTo(firstPath);
        assertThat(fixture.client.last().request().headers()).isEmpty();
    }

    /**
     * Guards against a request that fails where the instance has started again and got another identifier: it was sent
     * there twice, as if only its computed prompt had been gone.
     */
    @Test
    void misdirectedRequestGoesToAnotherInstanceWithItsComputedPrompt() {
        RequestProcessorFixture fixture = fixture(false);
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        fixture.client.last().respond(200, "handle-1");
        String firstPath = fixture.client.last().request().path();
        fixture.client.last().respond(421, "", FakeUpstreamProtocol.NOT_RUN);
        fixture.grantMemory("hold-2");
        assertThat(fixture.client.last().request().path()).endsWith("/run").isNotEqualTo(firstPath);
        assertThat(fixture.client.last().request().headers())
                .contains(new HttpHeader("hold", "hold-2"), new HttpHeader("prefill", "handle-1"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void callerDisconnectCancelsUpstreamRequestAndReleasesUnusedReservation(int activeRequestNumber) {
        RequestProcessorFixture fixture = fixture(false);
        fixture.sendRequest("/p/x");
        if (activeRequestNumber > 1) {
            fixture.grantMemory("hold-1");
        }
        if (activeRequestNumber > 2) {
            fixture.client.last().respond(200, "handle-1");
        }
        FakeHttpClient.SentRequest active = fixture.client.last();
        fixture.caller.disconnect();
        assertThat(active.cancelled()).isTrue();
        boolean reservationUnused = activeRequestNumber == 2;
        assertThat(fixture.client.sent().stream()
                        .anyMatch(sent -> sent.request().path().contains("/release-hold/hold-1")))
                .isEqualTo(reservationUnused);
    }

    /**
     * Guards against a burst that exceeds the memory of all instances: a request that no instance will have memory for
     * soon must be refused at once instead of waiting.
     */
    @Test
    void requestIsRefusedImmediatelyWhenNoInstanceWillHaveMemory() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, false);
        fixture.register(Stage.PREFILL, "f1");
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.caller.hasRetryAfter()).isTrue();
        assertThat(fixture.client.sent()).isEmpty();
    }
}
