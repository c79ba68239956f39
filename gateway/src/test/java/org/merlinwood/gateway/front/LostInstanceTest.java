package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.gateway.workspace.CallerKey;
import org.merlinwood.gateway.workspace.Workspace;

/**
 * Load pattern: instances crash one after the other. Guards against sound requests that are refused for a minute as if
 * they crashed the instances that ran them, and against requests that do and are sent to one instance after another.
 */
final class LostInstanceTest {

    /** Number of events after which a crash isn't due to the beginning of the response. */
    private static final int MANY_EVENTS = 6;

    /** Longer than an instance is paused after a failure, in milliseconds. */
    private static final long PAUSE_MILLIS = 1_500;

    /** Guards against clients that can't take up streams that lost two instances while others serve. */
    @ParameterizedTest
    @EnumSource(
            value = ResultCode.class,
            names = {"CONNECTION_LOST", "UPSTREAM_TRUNCATED"})
    void streamThatLostTwoInstancesBehindManyEventsIsTakenUp(ResultCode code) {
        RequestProcessorFixture fixture = streamThatLost(2, MANY_EVENTS, code);
        assertThat(fixture.caller.aborted).isTrue();
        int sent = fixture.client.sent().size();
        fixture.sendResumingAttempt("attempt-2", RequestProcessorFixture.ATTEMPT, 2 * MANY_EVENTS);
        assertThat(fixture.caller.status).isZero();
        assertThat(fixture.client.sent()).hasSizeGreaterThan(sent);
    }

    /** The other direction: a stream that crashes its instances behind a few events stays contained. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3})
    void streamThatLostTwoInstancesBehindFewEventsIsNotTakenUp(int events) {
        RequestProcessorFixture fixture = streamThatLost(2, events, ResultCode.CONNECTION_LOST);
        int sent = fixture.client.sent().size();
        fixture.sendResumingAttempt("attempt-2", RequestProcessorFixture.ATTEMPT, 2L * events);
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.client.sent()).hasSize(sent);
    }

    /** The other direction: a stream that crashes its instances late loses three at most. */
    @Test
    void streamThatLostThreeInstancesBehindManyEventsIsNotTakenUp() {
        RequestProcessorFixture fixture = streamThatLost(3, MANY_EVENTS, ResultCode.CONNECTION_LOST);
        int sent = fixture.client.sent().size();
        fixture.sendResumingAttempt("attempt-2", RequestProcessorFixture.ATTEMPT, 3 * MANY_EVENTS);
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.client.sent()).hasSize(sent);
    }

    /** Guards against content that is refused since instances cut their responses short, and live on. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void plainRequestIsRefusedOnlyIfItsInstancesBeganNoResponse(boolean responseBegun, boolean served) {
        RequestProcessorFixture fixture = plainFixture();
        fixture.register(Stage.PLAIN, "a", "b", "c");
        fixture.sendRequest("/p/x");
        for (int attempt = 0; attempt < 2; attempt++) {
            if (responseBegun) {
                fixture.client.last().head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
            }
            fixture.client.last().fail(ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        }
        assertThat(fixture.caller.status).isEqualTo(502);
        fixture.loop.advance(PAUSE_MILLIS);
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isEqualTo(served ? 0 : 503);
    }

    /** Guards against content that many callers send, which is refused to all since two instances crashed. */
    @Test
    void plainRequestThatWasServedBeforeIsServedAfterTwoCrashes() {
        RequestProcessorFixture fixture = plainFixture();
        fixture.register(Stage.PLAIN, "a", "b", "c");
        fixture.sendRequest("/p/x");
        fixture.client.last().respond(200, "body", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        crashBoth(fixture);
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isZero();
    }

    /** Guards against one instance that breaks many responses off, for which its requests are refused everywhere. */
    @Test
    void plainRequestIsServedIfItsInstanceGoesOnToRespond() {
        RequestProcessorFixture fixture = plainFixture();
        fixture.register(Stage.PLAIN, "a", "b", "c");
        List<SentRequest> others = new ArrayList<>();
        for (int other = 0; other < 12; other++) {
            fixture.sendRequest("/p/other-" + other);
            others.add(fixture.client.last());
        }
        crashBoth(fixture);
        fixture.loop.advance(100);
        others.forEach(other -> other.respond(200, "body", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS));
        fixture.loop.advance(PAUSE_MILLIS);
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isZero();
    }

    /** Guards against a workspace whose requests are refused since equal ones of another workspace lost instances. */
    @Test
    void equalRequestOfAnotherWorkspaceIsServed() {
        RequestProcessorFixture fixture = plainFixture();
        fixture.register(Stage.PLAIN, "a", "b", "c");
        fixture.confirmCopy();
        fixture.replaceWorkspaces(Map.of(
                "key-1",
                new Workspace("one", OptionalInt.empty(), Optional.empty()),
                "key-2",
                new Workspace("two", OptionalInt.empty(), Optional.empty())));
        fixture.key = Optional.of(new CallerKey("key-1"));
        crashBoth(fixture);
        fixture.loop.advance(PAUSE_MILLIS);
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isEqualTo(503);
        fixture.key = Optional.of(new CallerKey("key-2"));
        fixture.sendRequest("/p/x");
        assertThat(fixture.caller.status).isZero();
    }

    /** Guards against a prompt that crashes one prefill instance after another, until none is left. */
    @Test
    void promptThatLostThreePrefillInstancesIsNotSentToAFourth() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.register(Stage.DECODE, "d1");
        fixture.register(Stage.PREFILL, "f1", "f2", "f3", "f4");
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        while (fixture.client.last().request().path().endsWith("/prefill")
                && !fixture.client.last().ended()) {
            fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        }
        assertThat(fixture.client.sent().stream()
                        .filter(sent -> sent.request().path().endsWith("/prefill")))
                .hasSize(3);
        assertThat(fixture.caller.status).isGreaterThanOrEqualTo(500);
    }

    private static RequestProcessorFixture plainFixture() {
        return new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
    }

    private static void crashBoth(RequestProcessorFixture fixture) {
        fixture.sendRequest("/p/x");
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
    }

    /** Returns a fixture whose stream lost instances, each behind a number of events, and that has two more. */
    private static RequestProcessorFixture streamThatLost(int losses, int events, ResultCode code) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true, true, losses);
        fixture.register(Stage.PREFILL, "f1");
        fixture.register(Stage.DECODE, "d0");
        fixture.sendRequest("/p/x");
        for (int loss = 0; loss < losses; loss++) {
            fixture.grantMemory("hold-" + loss);
            fixture.client.last().respond(200, "handle-" + loss);
            SentRequest generation = fixture.client.last();
            assertThat(generation.request().path()).isEqualTo("/d" + loss + "/run");
            sendEvents(generation, loss * events, events);
            fixture.register(Stage.DECODE, "d" + (loss + 1));
            generation.fail(code, ExecutionState.UNKNOWN);
            fixture.loop.advance(1);
        }
        return fixture;
    }

    private static void sendEvents(SentRequest generation, int before, int count) {
        if (count > 0) {
            generation.head(200, RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        }
        for (int number = before + 1; number <= before + count; number++) {
            generation.bytes("id: " + number + "\ndata: a\n\n");
        }
    }
}
