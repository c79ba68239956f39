package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.fixtureWithSentRequest;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/** Guards against sound requests that are refused as crashing since instances ended their responses wrongly. */
final class EndThatIsNoCrashTest {

    /** How an instance that lives ends an attempt. */
    enum End {
        INSIDE_AN_EVENT,
        OVERSIZED_EVENT,
        MALFORMED;

        private void apply(SentRequest attempt) {
            switch (this) {
                case INSIDE_AN_EVENT ->
                    attempt.respond(200, "id: 1\nda", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
                case OVERSIZED_EVENT -> {
                    attempt.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
                    attempt.bytes("x".repeat(EventSplitter.MAXIMUM_EVENT_BYTES + 1));
                }
                case MALFORMED -> attempt.fail(ResultCode.UPSTREAM_MALFORMED, ExecutionState.UNKNOWN);
            }
        }
    }

    /** Two instances end a stream wrongly: the same request must still be sent the next time. */
    @ParameterizedTest
    @EnumSource(End.class)
    void streamIsNotBlockedAfterTwoEndsOfInstancesThatLive(End end) {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        endBoth(fixture, end::apply);
        assertThat(fixture.crashHistory.drainUnsentLosses()).isEmpty();
    }

    /** A connection that is lost is a crash, before and inside a response: the request must be blocked. */
    @ParameterizedTest
    @EnumSource(
            value = ResultCode.class,
            names = {"CONNECTION_LOST", "UPSTREAM_TRUNCATED"})
    void streamThatLostTwoConnectionsIsBlocked(ResultCode code) {
        RequestProcessorFixture fixture = fixtureWithSentRequest();
        endBoth(fixture, attempt -> attempt.fail(code, ExecutionState.UNKNOWN));
        assertThat(fixture.crashHistory.drainUnsentLosses()).hasSize(2);
    }

    /** The same for a stream of a service without engines. */
    @Test
    void plainStreamIsNotBlockedAfterTwoEndsInsideAnEvent() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        SentRequest first = fixture.client.last();
        End.INSIDE_AN_EVENT.apply(first);
        assertThat(fixture.client.last()).isNotSameAs(first);
        End.INSIDE_AN_EVENT.apply(fixture.client.last());
        assertThat(fixture.crashHistory.drainUnsentLosses()).isEmpty();
    }

    private static void endBoth(RequestProcessorFixture fixture, Consumer<SentRequest> end) {
        end.accept(fixture.client.last());
        fixture.grantMemory("hold-2");
        fixture.client.last().respond(200, "handle-2");
        assertThat(fixture.client.last().request().path()).isEqualTo("/d2/run");
        end.accept(fixture.client.last());
    }
}
