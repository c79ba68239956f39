package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.SILENCE_MILLIS;
import static org.merlinwood.gateway.front.SentStream.drainRetries;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;
import static org.merlinwood.gateway.front.SentStream.fixtureWithSentRequest;
import static org.merlinwood.gateway.front.SentStream.prepareReplacement;
import static org.merlinwood.gateway.front.SentStream.replace;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;

/**
 * Guards against more retries than the allowance: only the first prefill that an instance accepts is free, and a prompt
 * that is computed once more arrives in addition to the generation behind it.
 */
final class UncountedPrefillTest {

    private static long count(RequestProcessorFixture fixture, String path) {
        return fixture.client.sent().stream()
                .filter(sent -> sent.request().path().equals(path))
                .count();
    }

    /** A second prefill counts as a retry, and so does the run behind it. */
    @Test
    void replacementIsChargedForItsPrefillAndItsRun() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        replace(fixture, attempt);
        RequestProcessorFixture calm = fixtureWithSentRequest();
        assertThat(count(fixture, "/f1/prefill")).isEqualTo(2);
        assertThat(drainRetries(calm) - drainRetries(fixture)).isEqualTo(2);
    }

    /** The same for an ordinary retry, without any silence. */
    @Test
    void retryIsChargedForItsPrefillAndItsRun() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
        RequestProcessorFixture calm = fixtureWithSentRequest();
        assertThat(drainRetries(calm) - drainRetries(fixture)).isEqualTo(2);
    }

    /** Without a retry for the prompt, the decode instance computes it, and the stream goes on all the same. */
    @Test
    void promptIsNotComputedAgainBeyondTheAllowance() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.staySilent(attempt, SILENCE_MILLIS);
        drainRetries(fixture);
        fixture.grantMemory("hold-2");
        assertThat(count(fixture, "/f1/prefill")).isEqualTo(1);
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
    }

    /** A prefill that is given up may have arrived; the generation behind it was not sent. */
    @Test
    void cancelledPrefillIsCharged() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest prefill = prepareReplacement(fixture, attempt);
        attempt.bytes(SECOND_EVENT);
        assertThat(prefill.cancelled()).isTrue();
        RequestProcessorFixture calm = fixtureWithSentRequest();
        assertThat(drainRetries(calm) - drainRetries(fixture)).isEqualTo(1);
    }

    /** A prefill that did not reach its instance is not charged. */
    @Test
    void unreachedPrefillIsNotCharged() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        prepareReplacement(fixture, attempt).fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
        RequestProcessorFixture calm = fixtureWithSentRequest();
        assertThat(drainRetries(calm) - drainRetries(fixture)).isEqualTo(1);
    }
}
