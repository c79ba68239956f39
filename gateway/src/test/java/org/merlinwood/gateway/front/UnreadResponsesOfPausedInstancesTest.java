package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

/**
 * Guards against a burst of requests to an instance that wants none, whose responses weren't read since the requests
 * were given up. Load pattern: all instances of a service are paused, the pause of one ends first, and several requests
 * arrive at once.
 */
final class UnreadResponsesOfPausedInstancesTest {

    /** Time after which the request is sent to the other instance as well, in milliseconds. */
    private static final long FIRST_SILENCE_MILLIS = RequestProcessorFixture.CALLER_TIME_MILLIS / 2;

    /** Time from then on after which both instances are silent, in milliseconds. */
    private static final long SECOND_SILENCE_MILLIS = FIRST_SILENCE_MILLIS / 2;

    /** Time after which an instance that declines requests has answered, in milliseconds. */
    private static final long TRIAL_MILLIS = 500;

    /** Number of requests that arrive at once. */
    private static final int BURST = 5;

    private static final int INSTANCES = 2;

    /** Attempts that the route allows: one more than there are instances, so that silence at each is noticed. */
    private static final int MAXIMUM_ATTEMPTS = INSTANCES + 1;

    private final RequestProcessorFixture fixture =
            new RequestProcessorFixture(RequestKind.IDEMPOTENT, false, false, MAXIMUM_ATTEMPTS);
    private SentRequest first;
    private SentRequest second;

    @BeforeEach
    void bothInstancesAreSilent() {
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        first = fixture.client.last();
        fixture.loop.advance(FIRST_SILENCE_MILLIS);
        second = fixture.client.last();
        fixture.loop.advance(SECOND_SILENCE_MILLIS);
        assertThat(fixture.client.sent()).containsExactly(first, second);
    }

    private void giveUpBoth() {
        fixture.caller.disconnect();
        assertThat(first.cancelled()).isTrue();
        assertThat(second.cancelled()).isTrue();
    }

    /** Sends several requests at once and returns those that were sent to an instance. */
    private List<SentRequest> sendBurst() {
        return sendBurst("/p/x");
    }

    private List<SentRequest> sendBurst(String path) {
        int before = fixture.client.sent().size();
        for (int request = 0; request < BURST; request++) {
            fixture.sendRequest(path);
        }
        return new ArrayList<>(
                fixture.client.sent().subList(before, fixture.client.sent().size()));
    }

    private static List<String> instances(List<SentRequest> requests) {
        return requests.stream()
                .map(sent -> sent.request().path().split("/", -1)[1])
                .toList();
    }

    /** Five requests went together to the one instance whose pause ended first, though it may have declined. */
    @Test
    void burstReachesEachInstanceOnceAndTheRestIsRefusedAtOnce() {
        giveUpBoth();
        assertThat(instances(sendBurst())).containsExactlyInAnyOrder("a", "b");
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.caller.hasRetryAfter()).isTrue();
    }

    /** A response that names a time must keep everything away from its instance. */
    @Test
    void instanceThatDeclinesItsOneRequestGetsNoMore() {
        giveUpBoth();
        sendBurst()
                .forEach(sent ->
                        sent.respond(503, "", FakeUpstreamProtocol.NOT_RUN, FakeUpstreamProtocol.declined(3_000)));
        assertThat(sendBurst()).isEmpty();
        assertThat(fixture.caller.status).isEqualTo(503);
    }

    /** A response without a time shows that the instance takes work again: nothing may be held back any longer. */
    @Test
    void responseWithoutATimeOpensTheInstanceForAll() {
        giveUpBoth();
        sendBurst().getFirst().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(sendBurst()).hasSize(BURST);
    }

    /** An instance that works on its one request for long must not be kept from others that it could serve. */
    @Test
    void anotherRequestIsSentOnceAnInstanceThatDeclinesWouldHaveAnswered() {
        giveUpBoth();
        assertThat(sendBurst()).hasSize(INSTANCES);
        fixture.loop.advance(TRIAL_MILLIS - 1);
        assertThat(sendBurst()).isEmpty();
        fixture.loop.advance(1);
        assertThat(instances(sendBurst())).containsExactlyInAnyOrder("a", "b");
    }

    /** A request that ends without a response is followed by the next one. */
    @Test
    void endOfTheOneRequestLetsTheNextOneGo() {
        giveUpBoth();
        List<SentRequest> sent = sendBurst();
        sent.getFirst().fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
        assertThat(instances(sendBurst())).containsExactly(instances(sent).getFirst());
    }

    /** Slow instances are paused as well; their open attempts will still be read, so nothing is held back. */
    @Test
    void slowInstancesWhoseAttemptsAreOpenGetAllRequests() {
        assertThat(first.cancelled()).isFalse();
        assertThat(sendBurst()).hasSize(BURST);
    }

    /** Only paused instances are limited: requests of callers that leave are given up all the time. */
    @Test
    void instanceThatIsNotPausedGetsAllRequests() {
        first.respond(200, "whole", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(second.cancelled()).isTrue();
        fixture.sendRequest("/p/x");
        fixture.caller.disconnect();
        assertThat(sendBurst()).hasSize(BURST);
    }

    /**
     * A connection that was lost has no response any more that could have declined: nothing may be held back. The burst
     * differs from the request that lost both connections, which may have crashed the instances.
     */
    @Test
    void instanceThatLostItsConnectionGetsAllRequests() {
        first.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        second.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.status).isNotZero();
        assertThat(sendBurst("/p/other")).hasSize(BURST);
    }
}
