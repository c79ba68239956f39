package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/**
 * Guards against a request that has no response before the timeout of its route, since a step behind its first one
 * threw: a retry, or the next request to an instance that its stream needs.
 */
final class LaterStepThatThrowsTest {

    private static void runAsTheEventLoopDoes(Runnable step) {
        try {
            step.run();
        } catch (IllegalStateException thrown) {
            // The loop of the process logs it and goes on.
        }
    }

    private static void throwOnNextSend(RequestProcessorFixture fixture) {
        fixture.client.throwOnNextSend(new IllegalStateException("thrown by the test"));
    }

    private static void assertAnsweredAtOnce(RequestProcessorFixture fixture) {
        assertThat(fixture.caller.status).isGreaterThanOrEqualTo(500);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    @Tag("known-red")
    @Test
    void callerIsAnsweredAtOnceIfTheRetryOfAPlainRequestThrows() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        throwOnNextSend(fixture);
        runAsTheEventLoopDoes(() -> fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN));
        assertAnsweredAtOnce(fixture);
    }

    @Tag("known-red")
    @Test
    void callerIsAnsweredAtOnceIfAStepOfTheReservationThrows() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.register(Stage.DECODE, "d1");
        fixture.register(Stage.PREFILL, "f1");
        fixture.sendRequest("/p/x");
        throwOnNextSend(fixture);
        runAsTheEventLoopDoes(() -> fixture.client.last().respond(200, "check"));
        assertAnsweredAtOnce(fixture);
    }

    @Tag("known-red")
    @Test
    void callerIsAnsweredAtOnceIfTheFirstAttemptOfItsStreamThrows() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.register(Stage.DECODE, "d1");
        fixture.register(Stage.PREFILL, "f1");
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        throwOnNextSend(fixture);
        runAsTheEventLoopDoes(() -> fixture.client.last().respond(200, "handle-1"));
        assertAnsweredAtOnce(fixture);
    }

    @Tag("known-red")
    @Test
    void streamIsBrokenOffAtOnceIfItsRetryThrows() {
        RequestProcessorFixture fixture = SentStream.fixtureWithBegunStream();
        throwOnNextSend(fixture);
        runAsTheEventLoopDoes(() -> fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN));
        assertThat(fixture.caller.aborted).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }
}
