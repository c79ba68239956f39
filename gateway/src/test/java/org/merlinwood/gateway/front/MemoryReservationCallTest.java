package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/**
 * Load pattern: many entries place long responses at the same instances between two status messages. Each sees room
 * that the others have just taken, and the instance has the memory for the prompts, but not for the growth of all
 * responses.
 */
final class MemoryReservationCallTest {

    /** Prompt of 1,000 tokens and 8 events of 2 tokens, as in the fixture. */
    private static final int START_TOKENS = 1_016;

    private final RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);

    private void sendRequest() {
        fixture.register(Stage.DECODE, "d1", "d2");
        fixture.register(Stage.PREFILL, "f1");
        fixture.sendRequest("/p/x");
    }

    @Test
    void checksMemoryForTheWholeResponseAndThenReservesItsStart() {
        sendRequest();
        assertThat(requestedTokens()).isGreaterThan(START_TOKENS);
        fixture.client.last().respond(200, "check");
        assertThat(requestedTokens()).isEqualTo(START_TOKENS);
        fixture.client.last().respond(200, "hold-1");
        assertThat(fixture.client.last().request().path()).isEqualTo("/f1/prefill");
    }

    @Test
    void instanceWithoutMemoryForTheGrowthGetsNoPromptAndTheNextIsAsked() {
        sendRequest();
        String first = fixture.client.last().request().path().substring(0, 3);
        fixture.client.last().respond(503, "");
        assertThat(fixture.client.last().request().path()).contains("/hold/").doesNotStartWith(first);
        fixture.client.last().respond(503, "");
        assertThat(fixture.client.sent()).allMatch(sent -> sent.request().path().contains("/hold/"));
    }

    /** Requests that wait at one entry do not each ask an instance that has just declined. */
    @Test
    void fullInstancesAreNotAskedAgainByTheNextRequestAtOnce() {
        sendRequest();
        fixture.client.last().respond(503, "");
        fixture.client.last().respond(503, "");
        int requestCount = fixture.client.sent().size();
        fixture.sendRequest("/p/x");
        assertThat(fixture.client.sent()).hasSize(requestCount);
    }

    @Test
    void callerThatLeavesDuringTheCheckCancelsIt() {
        sendRequest();
        fixture.caller.disconnect();
        assertThat(fixture.client.last().cancelled()).isTrue();
        assertThat(fixture.client.sent()).hasSize(1);
    }

    /** Guards against memory that an instance holds, until the lease ends, for a caller that has left. */
    @Test
    void reservationThatIsGrantedAfterTheCallerLeftIsReleased() {
        sendRequest();
        fixture.client.last().respond(200, "check");
        fixture.caller.disconnect();
        fixture.client.last().respond(200, "hold-1");
        assertThat(fixture.client.last().request().path()).endsWith("/release-hold/hold-1");
    }

    @Test
    void reservationThatIsDeclinedAfterTheCallerLeftEndsTheRequest() {
        sendRequest();
        fixture.client.last().respond(200, "check");
        fixture.caller.disconnect();
        fixture.client.last().respond(503, "");
        assertThat(fixture.client.sent()).hasSize(2);
    }

    @Test
    void unreachableInstanceIsNotTakenForAFullOne() {
        sendRequest();
        fixture.client.last().fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
        assertThat(fixture.client.last().request().path()).contains("/hold/");
    }

    private int requestedTokens() {
        String path = fixture.client.last().request().path();
        return Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
    }
}
