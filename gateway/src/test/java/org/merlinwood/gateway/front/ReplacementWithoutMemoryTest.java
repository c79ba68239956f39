package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.assertComplete;
import static org.merlinwood.gateway.front.SentStream.drainRetries;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;
import static org.merlinwood.gateway.front.SentStream.fixtureWithSentRequest;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.fleet.Stage;

/**
 * Guards against a lost instance's stream that stands still although another instance has memory, since the search for
 * memory had been given up.
 */
final class ReplacementWithoutMemoryTest {

    /** Time after which a stream that has no silent attempt gives the search up, in milliseconds. */
    private static final long LONGEST_WAIT_MILLIS = 2_500;

    /** The silent instance is dead; another one gets memory free a little after the wait for it was given up. */
    @Test
    void deadInstanceIsReplacedAsSoonAsAnotherHasMemory() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.fleet.remove("d2");
        fixture.loop.advance(3_760);
        fixture.register(Stage.DECODE, "d2");
        int sent = fixture.client.sent().size();
        fixture.loop.advance(200);
        assertThat(fixture.client.sent().size()).isGreaterThan(sent);
    }

    /** The silent instance goes on after a long wait: its stream is complete, and its retry is free for others. */
    @Test
    void streamGoesOnAfterALongWaitForMemory() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.fleet.remove("d2");
        fixture.loop.advance(3_900);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        assertComplete(fixture);
        RequestProcessorFixture calm = fixtureWithSentRequest();
        assertThat(drainRetries(fixture)).isEqualTo(drainRetries(calm));
    }

    /** Once the silent instance is lost, the wait has the same limit as without the silence, counted from the loss. */
    @Test
    void waitIsCountedFromTheLossOfTheSilentInstance() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.fleet.remove("d2");
        fixture.loop.advance(1_300);
        attempt.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.fleet.remove("d1");
        fixture.loop.advance(LONGEST_WAIT_MILLIS - 100);
        assertThat(fixture.caller.aborted).isFalse();
        fixture.loop.advance(200);
        assertThat(fixture.caller.aborted).isTrue();
    }
}
