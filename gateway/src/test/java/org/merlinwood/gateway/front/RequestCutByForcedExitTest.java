package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/** Guards against requests that a draining entry accepted and that end without a response when it must exit. */
final class RequestCutByForcedExitTest {

    /** Time from the start of a drain to the moment at which the entry exits whatever is open, in milliseconds. */
    private static final long FORCED_EXIT_MILLIS = 7_700;

    /** Accepted late in the drain, its instance silent for a while: an error response fits before the exit. */
    @Test
    void requestAcceptedWhileDrainingIsAnsweredBeforeTheForcedExit() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.NON_IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "p1");
        fixture.drainPolicy.start();
        fixture.loop.advance(5_600);
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isZero();
        fixture.staySilent(fixture.client.last(), 2_200);
        assertThat(fixture.drainPolicy.millisUntilForcedExit()).isNotPositive();
        assertThat(fixture.caller.status).isNotZero();
    }

    /** The end comes as late as it can, since the instance may still respond. */
    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
    void requestIsAnsweredNoSoonerThanItMustBe(RequestKind kind) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(kind, false);
        fixture.register(Stage.PLAIN, "p1");
        fixture.drainPolicy.start();
        fixture.loop.advance(5_000);
        fixture.sendRequest("/p/x");
        fixture.loop.advance(FORCED_EXIT_MILLIS - 5_000 - 200);
        assertThat(fixture.caller.status).isZero();
        fixture.loop.advance(199);
        assertThat(fixture.drainPolicy.millisUntilForcedExit()).isPositive();
        assertThat(fixture.caller.status).isEqualTo(504);
        assertThat(fixture.client.last().cancelled()).isTrue();
    }

    /** The request was open when the drain began, and takes longer than that lasts. */
    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
    void requestFromBeforeTheDrainIsAnsweredBeforeTheForcedExit(RequestKind kind) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(kind, false);
        fixture.register(Stage.PLAIN, "p1");
        fixture.sendRequest("/p/x");
        fixture.drainPolicy.start();
        fixture.clock.advanceMillis(FORCED_EXIT_MILLIS - 50);
        fixture.loop.advance(0);
        assertThat(fixture.drainPolicy.millisUntilForcedExit()).isPositive();
        assertThat(fixture.caller.status).isEqualTo(504);
    }

    /** Nothing was sent to an instance: the response must say so. */
    @Test
    void streamThatWaitsForMemoryIsRefusedBeforeTheForcedExit() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, false);
        fixture.register(Stage.DECODE, "d1");
        fixture.sendRequest("/p/x");
        fixture.drainPolicy.start();
        fixture.clock.advanceMillis(FORCED_EXIT_MILLIS - 50);
        fixture.loop.advance(1);
        assertThat(fixture.caller.status).isEqualTo(ResultCode.DRAINING.httpStatus());
    }

    /** A response that has begun may still be completed in the time that is left. */
    @Test
    void streamThatHasBegunIsLeftAlone() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.drainPolicy.start();
        fixture.clock.advanceMillis(FORCED_EXIT_MILLIS - 50);
        fixture.loop.advance(0);
        assertThat(fixture.caller.ended).isFalse();
    }
}
