package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.merlinwood.gateway.decision.ActiveGeneration;
import org.merlinwood.gateway.decision.PendingGeneration;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.RequestKind;

/**
 * Load pattern: callers whose connections were lost take their streams up again while the instances that are left have
 * no room. Guards against such a stream that is refused as a new one would be, although it could wait.
 */
final class TakenUpStreamTest {

    /** Leaves no memory at an instance for seconds. */
    private static final Prompt LARGE = new Prompt("m", 19_000, 4_000, OptionalInt.empty(), List.of());

    /** Longer than a new request waits, shorter than a continuation does, in milliseconds. */
    private static final long WAIT_MILLIS = 2_200;

    private static final String BEGUN_ATTEMPT = "attempt-0";

    private final RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);

    /** Fills the only instance, at which the stream of {@link #BEGUN_ATTEMPT} has begun, and returns the work there. */
    private ActiveGeneration fillInstance() {
        fixture.register(Stage.DECODE, "d1");
        fixture.origins.recordOwn(new StreamOrigin(BEGUN_ATTEMPT, "v1", RequestProcessorFixture.CALLER_TIME_MILLIS));
        return fixture.pool.beginGeneration("d1", PendingGeneration.of(LARGE));
    }

    @Test
    void takenUpStreamWaitsAsLongAsAContinuation() {
        ActiveGeneration otherWork = fillInstance();
        fixture.sendResumingAttempt(RequestProcessorFixture.ATTEMPT, BEGUN_ATTEMPT, 3);
        fixture.loop.advance(WAIT_MILLIS);
        assertThat(fixture.caller.ended).isFalse();
        fixture.pool.endGeneration(otherWork);
        fixture.loop.advance(100);
        assertThat(fixture.client.last().request().path()).startsWith("/d1/hold/");
    }

    /** A new request is refused at once where the wait would be too long. */
    @Test
    void newStreamIsRefusedAtOnce() {
        fillInstance();
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isEqualTo(503);
    }

    /** The wait of a stream that is taken up again has an end as well. */
    @Test
    void takenUpStreamIsRefusedOnceItCannotGoOnInTime() {
        fillInstance();
        fixture.sendResumingAttempt(RequestProcessorFixture.ATTEMPT, BEGUN_ATTEMPT, 3);
        fixture.loop.advance(RequestProcessorFixture.CALLER_TIME_MILLIS);
        assertThat(fixture.caller.status).isEqualTo(503);
    }
}
