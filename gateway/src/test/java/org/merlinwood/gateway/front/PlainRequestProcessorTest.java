package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;

final class PlainRequestProcessorTest {

    private RequestProcessorFixture fixtureWithSentRequest(RequestKind kind) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(kind, false);
        fixture.register(Stage.PLAIN, "a", "b", "c", "d");
        fixture.sendRequest("/p/x");
        return fixture;
    }

    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
    void completeResponseIsForwardedUnchanged(RequestKind kind) {
        RequestProcessorFixture fixture = fixtureWithSentRequest(kind);
        fixture.client.last().respond(200, "whole", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.status).isEqualTo(200);
        assertThat(fixture.caller.body).isEqualTo("whole");
    }

    @Test
    void lostConnectionOfNonIdempotentRequestIsNeitherRetriedNorReportedAsNotRun() {
        RequestProcessorFixture fixture = fixtureWithSentRequest(RequestKind.NON_IDEMPOTENT);
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.client.sent()).hasSize(1);
        assertThat(fixture.caller.status).isEqualTo(502);
        assertThat(fixture.caller.hasRetryAfter()).isFalse();
    }

    @Test
    void lostConnectionOfIdempotentRequestIsRetriedOnAnotherInstance() {
        RequestProcessorFixture fixture = fixtureWithSentRequest(RequestKind.IDEMPOTENT);
        String firstPath = fixture.client.last().request().path();
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.client.last().request().path()).isNotEqualTo(firstPath);
        fixture.client.last().respond(200, "second", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.body).isEqualTo("second");
    }

    @Test
    void refusalAfterLostConnectionDoesNotReportNotRun() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.sendRequest("/p/x");
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        assertThat(fixture.caller.status).isEqualTo(502);
    }

    @Test
    void errorResponseOfOnlyInstanceIsForwardedUnchanged() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.sendRequest("/p/x");
        fixture.client.last().respond(500, "its error", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.status).isEqualTo(500);
        assertThat(fixture.caller.body).isEqualTo("its error");
    }

    @Test
    void responseToAnotherRequestIsNotForwarded() {
        RequestProcessorFixture fixture = fixtureWithSentRequest(RequestKind.NON_IDEMPOTENT);
        fixture.client
                .last()
                .respond(200, "another's", FakeUpstreamProtocol.SIGNED, FakeUpstreamProtocol.attempt("attempt-0"));
        assertThat(fixture.caller.status).isEqualTo(502);
        assertThat(fixture.caller.body).doesNotContain("another's");
    }

    @Test
    void requestThatReachesNoInstanceIsRefusedAsNotRunWithRetryAfter() {
        RequestProcessorFixture fixture = fixtureWithSentRequest(RequestKind.NON_IDEMPOTENT);
        while (!fixture.caller.ended) {
            fixture.client.last().fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
        }
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.caller.hasRetryAfter()).isTrue();
    }

    @Test
    void routeTimeoutCancelsAttemptWithoutReportingNotRun() {
        RequestProcessorFixture fixture = fixtureWithSentRequest(RequestKind.NON_IDEMPOTENT);
        fixture.loop.advance(5_000);
        assertThat(fixture.caller.status).isEqualTo(504);
        assertThat(fixture.client.last().cancelled()).isTrue();
    }

    @Test
    void callerDisconnectCancelsAttempt() {
        RequestProcessorFixture fixture = fixtureWithSentRequest(RequestKind.IDEMPOTENT);
        fixture.caller.disconnect();
        assertThat(fixture.client.last().cancelled()).isTrue();
        assertThat(fixture.client.sent()).hasSize(1);
    }

    @Test
    void drainedEntryRefusesNewRequest() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.drainPolicy.start();
        fixture.drainPolicy.stopAccepting();
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.client.sent()).isEmpty();
    }

    @Test
    void unknownPathIsRefusedWithoutUpstreamRequest() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a");
        fixture.sendRequest("/q/x");
        assertThat(fixture.caller.status).isEqualTo(404);
        assertThat(fixture.client.sent()).isEmpty();
    }

    /**
     * Guards against a request that fails because its instance is silent, although the response would still come: at
     * half its time another instance may be tried, but nothing is given up for nothing.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void silentAttemptIsKeptWhenNoOtherAttemptCanFollow(boolean otherInstance) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "p1");
        if (otherInstance) {
            fixture.register(Stage.PLAIN, "p2");
            while (fixture.retryAllowance.tryAcquire("service")) {}
        }
        fixture.sendRequest("/p/x");
        FakeHttpClient.SentRequest attempt = fixture.client.last();
        fixture.staySilent(attempt, RequestProcessorFixture.CALLER_TIME_MILLIS * 3 / 4);
        attempt.respond(200, "late", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.client.sent()).hasSize(1);
        assertThat(fixture.caller.status).isEqualTo(200);
        assertThat(fixture.caller.body).isEqualTo("late");
    }

    @Test
    void silentAttemptIsCancelledWhenAnotherInstanceHasAnswered() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "p1", "p2");
        fixture.sendRequest("/p/x");
        FakeHttpClient.SentRequest silent = fixture.client.last();
        fixture.staySilent(silent, RequestProcessorFixture.CALLER_TIME_MILLIS * 3 / 4);
        assertThat(silent.ended()).isFalse();
        assertThat(fixture.client.sent()).hasSize(2);
        fixture.client.last().respond(200, "retried", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(silent.cancelled()).isTrue();
        assertThat(fixture.caller.body).isEqualTo("retried");
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /** Guards against a body without end that drips, and takes the time of another attempt with it. */
    @Test
    void attemptWhoseBodyDripsIsCancelledWhenAnotherInstanceHasAnswered() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "p1", "p2");
        fixture.sendRequest("/p/x");
        FakeHttpClient.SentRequest dripping = fixture.client.last();
        dripping.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        long halfMillis = RequestProcessorFixture.CALLER_TIME_MILLIS / 2;
        for (long elapsedMillis = 0; elapsedMillis <= halfMillis; elapsedMillis += 100) {
            dripping.bytes("x");
            fixture.loop.advance(100);
        }
        assertThat(fixture.client.sent()).hasSize(2);
        fixture.client.last().respond(200, "retried", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(dripping.cancelled()).isTrue();
        assertThat(fixture.caller.body).isEqualTo("retried");
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }
}
