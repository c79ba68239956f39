package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.SILENCE_MILLIS;
import static org.merlinwood.gateway.front.SentStream.begin;
import static org.merlinwood.gateway.front.SentStream.drainRetries;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;
import static org.merlinwood.gateway.front.SentStream.fixtureWithSentRequest;
import static org.merlinwood.gateway.front.SentStream.replace;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/** Guards against streams that are cut for lack of retries which others acquired and never sent. */
final class UnsentRetryTest {

    /** A replacement that was never sent must not cost the retries of others. */
    @Test
    void droppedReplacementReturnsItsRetry() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.staySilent(attempt, SILENCE_MILLIS);
        attempt.bytes("id: 2\ndata: b\n\n");
        RequestProcessorFixture calm = fixtureWithSentRequest();
        assertThat(drainRetries(fixture)).isEqualTo(drainRetries(calm));
    }

    /** The caller leaves while its retry waits for memory. */
    @Test
    void retryOfACallerThatLeftIsReturned() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.fleet.remove("d2");
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.caller.disconnect();
        RequestProcessorFixture calm = fixtureWithSentRequest();
        assertThat(drainRetries(fixture)).isEqualTo(drainRetries(calm));
    }

    /** A retry that was sent may have arrived, whatever ends it: it must not be spent twice. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void retryThatWasSentIsNotReturned(int end) {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        switch (end) {
            case 0 -> fixture.caller.disconnect();
            case 1 -> replacement.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
            case 2 -> replacement.respond(503, "", FakeUpstreamProtocol.NOT_RUN, FakeUpstreamProtocol.declined(9_000));
            default -> {
                attempt.bytes(SECOND_EVENT);
                fixture.loop.advance(200);
                assertThat(replacement.cancelled()).isTrue();
            }
        }
        RequestProcessorFixture calm = fixtureWithSentRequest();
        assertThat(drainRetries(calm) - drainRetries(fixture)).isGreaterThanOrEqualTo(2);
    }

    /** A plain request has no other instance left to which its retry could go. */
    @Test
    void retryWithoutAnInstanceIsReturned() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.sendRequest("/p/x");
        int left = retriesOfAPlainRequest();
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.status).isEqualTo(502);
        assertThat(drainRetries(fixture)).isEqualTo(left);
    }

    /** The retry under which a silent attempt was sent must not pay for its replacement as well: both arrive. */
    @Test
    void replacementOfARetryCostsARetryOfItsOwn() {
        RequestProcessorFixture calm = fixtureWithSentRequest();
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN);
        SentRequest retry = fixture.client.last();
        assertThat(retry.request().path()).isEqualTo("/d1/run");
        begin(retry);
        replace(fixture, retry);
        int extraArrivals = 3;
        assertThat(drainRetries(calm) - drainRetries(fixture)).isEqualTo(extraArrivals);
    }

    private static int retriesOfAPlainRequest() {
        RequestProcessorFixture calm = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        calm.register(Stage.PLAIN, "a");
        calm.sendRequest("/p/x");
        return drainRetries(calm);
    }
}
