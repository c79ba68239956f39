package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/** Requests that differ in their bodies and share a part of the prompt. */
final class CrashingPromptPartTest {

    /** Time after a lost connection in which the instance is known to have crashed, in milliseconds. */
    private static final long CRASH_CONFIRMED_MILLIS = 300;

    private final RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);

    @BeforeEach
    void registerInstances() {
        fixture.register(Stage.DECODE, "d1", "d2", "d3", "d4");
        fixture.register(Stage.PREFILL, "f1");
    }

    /** Guards against requests of one kind that crash one instance after another, no two of them alike. */
    @Test
    void requestWithPartThatCrashedTwoInstancesIsRefusedBeforeItReachesAnInstance() {
        beginResponse("first", "sound", "last-0");
        crashWithBothAttempts("first", "crashing", "last-1");
        int sent = fixture.client.sent().size();
        fixture.sendRequestWithParts("/p/x", "other-first", "crashing", "last-2");
        assertThat(fixture.client.sent()).hasSize(sent);
        assertThat(fixture.caller.status).isEqualTo(503);
    }

    /** Guards against a block of what all requests of a route have in common. */
    @Test
    void requestThatSharesOnlySoundPartsWithTheCrashingOneIsServed() {
        beginResponse("first", "sound", "last-0");
        crashWithBothAttempts("first", "crashing", "last-1");
        beginResponse("first", "sound", "last-2");
        assertThat(fixture.caller.body).isEqualTo("id: 1\ndata: a\n\n");
    }

    /**
     * Guards against a request that waits for memory, or for its prompt, while its part is found to crash instances.
     */
    @Test
    void requestThatWaitsForItsPromptIsNotSentOnceItsPartIsBlocked() {
        beginResponse("first", "sound", "last-0");
        fixture.sendRequestWithParts("/p/x", "first", "crashing", "last-3");
        RequestProcessorFixture.RecordingCaller waiting = fixture.caller;
        fixture.grantMemory("hold-3");
        FakeHttpClient.SentRequest prefill = fixture.client.last();
        crashWithBothAttempts("first", "crashing", "last-1");
        prefill.respond(200, "handle-3");
        assertThat(waiting.status).isEqualTo(503);
        assertThat(generationsSent()).isEqualTo(4);
    }

    /** Guards against a caller that is told that its request did not run although it may have crashed an instance. */
    @Test
    void requestThatWasSentAndIsThenBlockedIsNotReportedAsNotRun() {
        beginResponse("first", "sound", "last-0");
        assertThat(crashWithBothAttempts("first", "crashing", "last-1").status).isEqualTo(502);
    }

    private long generationsSent() {
        return fixture.client.sent().stream()
                .filter(sent -> sent.request().path().endsWith("/run"))
                .count();
    }

    private void beginResponse(String... parts) {
        sendUntilGeneration(parts);
        fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        fixture.client.last().bytes("id: 1\ndata: a\n\n");
    }

    private RequestProcessorFixture.RecordingCaller crashWithBothAttempts(String... parts) {
        sendUntilGeneration(parts);
        RequestProcessorFixture.RecordingCaller caller = fixture.caller;
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.loop.advance(1);
        grantUntilGeneration();
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.loop.advance(CRASH_CONFIRMED_MILLIS);
        beginResponse("first", "sound", "last-of-another");
        return caller;
    }

    private void sendUntilGeneration(String... parts) {
        fixture.sendRequestWithParts("/p/x", parts);
        grantUntilGeneration();
    }

    private void grantUntilGeneration() {
        fixture.grantMemory("hold");
        fixture.client.last().respond(200, "handle");
    }
}
