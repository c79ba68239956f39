package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.SILENCE_MILLIS;
import static org.merlinwood.gateway.front.SentStream.assertComplete;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;
import static org.merlinwood.gateway.front.SentStream.replace;

import org.junit.jupiter.api.Test;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;

/** Guards against a silent instance whose event exceeds the limit and ends the work of its replacement with it. */
final class StreamWithOversizedEventTest {

    private static final String OVERSIZED_PART = "x".repeat(EventSplitter.MAXIMUM_EVENT_BYTES + 1);

    /** The event comes while memory is being reserved for the replacement: that reservation must not be cancelled. */
    @Test
    void preparedReplacementIsKeptAndTheAttemptIsCancelled() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.staySilent(attempt, SILENCE_MILLIS);
        SentRequest reservation = fixture.client.last();
        assertThat(reservation).isNotSameAs(attempt);
        attempt.bytes(OVERSIZED_PART);
        assertThat(attempt.cancelled()).isTrue();
        assertThat(reservation.cancelled()).isFalse();
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        fixture.client.last().respond(200, SECOND_EVENT, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertComplete(fixture);
    }

    /** The event comes after the replacement was sent: that attempt must not be cancelled. */
    @Test
    void sentReplacementIsKeptAndTheAttemptIsCancelled() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        SentRequest replacement = replace(fixture, attempt);
        attempt.bytes(OVERSIZED_PART);
        assertThat(attempt.cancelled()).isTrue();
        assertThat(replacement.cancelled()).isFalse();
        replacement.respond(200, SECOND_EVENT, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertComplete(fixture);
    }
}
