package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.http.HttpHeader;

/** Instances that state in a response that they leave, or that they want no request for some time, get no more work. */
final class InstanceNoticePlacementTest {

    private static final HttpHeader DECLINED = FakeUpstreamProtocol.declined(2_000);

    private static RequestProcessorFixture plain(String... instances) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, instances);
        return fixture;
    }

    private static RequestProcessorFixture model() {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.STREAM, true);
        fixture.register(Stage.DECODE, "d1", "d2");
        fixture.register(Stage.PREFILL, "f1");
        return fixture;
    }

    private static void respondWith(RequestProcessorFixture fixture, HttpHeader notice) {
        fixture.client
                .last()
                .respond(
                        200,
                        "whole",
                        notice,
                        FakeUpstreamProtocol.SIGNED,
                        FakeUpstreamProtocol.attempt(RequestProcessorFixture.ATTEMPT));
    }

    private static String lastInstance(RequestProcessorFixture fixture) {
        return instanceOf(fixture.client.last());
    }

    private static String instanceOf(FakeHttpClient.SentRequest request) {
        return request.request().path().split("/", -1)[1];
    }

    private static double retryAfterSeconds(RequestProcessorFixture fixture) {
        return fixture.caller.headers.stream()
                .filter(header -> header.name().equals("Retry-After"))
                .mapToDouble(header -> Double.parseDouble(header.value()))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void plainInstanceThatLeavesGetsNoFurtherRequest() {
        RequestProcessorFixture fixture = plain("a", "b");
        fixture.sendRequest("/p/x");
        String leaving = lastInstance(fixture);
        respondWith(fixture, FakeUpstreamProtocol.LEAVING);
        for (int request = 0; request < 20; request++) {
            fixture.sendRequest("/p/x");
            assertThat(lastInstance(fixture)).isNotEqualTo(leaving);
        }
    }

    @Test
    void requestIsRefusedAtOnceWhenAllInstancesLeave() {
        RequestProcessorFixture fixture = plain("a");
        fixture.sendRequest("/p/x");
        respondWith(fixture, FakeUpstreamProtocol.LEAVING);
        fixture.sendRequest("/p/x");
        assertThat(fixture.client.sent()).hasSize(1);
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(fixture.caller.hasRetryAfter()).isTrue();
    }

    @Test
    void instanceThatNamesATimeGetsNoRequestUntilThen() {
        RequestProcessorFixture fixture = plain("a", "b");
        fixture.sendRequest("/p/x");
        String declining = lastInstance(fixture);
        fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN, DECLINED);
        assertThat(lastInstance(fixture)).isNotEqualTo(declining);
        fixture.clock.advanceMillis(1_900);
        int sentBefore = fixture.client.sent().size();
        for (int request = 0; request < 20; request++) {
            fixture.sendRequest("/p/x");
        }
        List<FakeHttpClient.SentRequest> sentMeanwhile =
                fixture.client.sent().subList(sentBefore, fixture.client.sent().size());
        assertThat(sentMeanwhile).hasSize(20).noneMatch(sent -> instanceOf(sent).equals(declining));
    }

    @Test
    void callerIsToldWhenTheFirstInstanceAcceptsRequestsAgain() {
        RequestProcessorFixture fixture = plain("a");
        fixture.sendRequest("/p/x");
        fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN, FakeUpstreamProtocol.declined(700));
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(retryAfterSeconds(fixture)).isBetween(0.7, 1.4);
        fixture.sendRequest("/p/x");
        assertThat(fixture.client.sent()).hasSize(1);
    }

    /** Guards against callers that are told to come back while all instances still decline. */
    @Test
    void callerWhoseLastAttemptWasDeclinedIsToldWhenTheFirstInstanceAcceptsRequestsAgain() {
        RequestProcessorFixture fixture = plain("a", "b");
        fixture.sendRequest("/p/x");
        fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN, FakeUpstreamProtocol.declined(700));
        fixture.client.last().respond(503, "", FakeUpstreamProtocol.NOT_RUN, FakeUpstreamProtocol.declined(900));
        assertThat(fixture.caller.status).isEqualTo(503);
        assertThat(retryAfterSeconds(fixture)).isBetween(0.7, 1.4);
    }

    @Test
    void memoryReservedAtAnInstanceThatLeavesIsReleasedAndReservedElsewhere() {
        RequestProcessorFixture fixture = model();
        fixture.sendRequest("/p/x");
        String leaving = lastInstance(fixture);
        fixture.client.last().respond(200, "check");
        fixture.client.last().respond(200, "hold-1", FakeUpstreamProtocol.LEAVING);
        assertThat(fixture.client.sent())
                .anyMatch(sent -> sent.request().path().equals("/" + leaving + "/release-hold/hold-1"));
        assertThat(lastInstance(fixture)).isNotEqualTo(leaving);
        assertThat(fixture.client.last().request().path()).contains("/hold/");
    }

    @Test
    void startedStreamOfAnInstanceThatLeavesGoesOn() {
        RequestProcessorFixture fixture = model();
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        fixture.client.last().respond(200, "handle-1");
        fixture.client
                .last()
                .head(
                        200,
                        FakeUpstreamProtocol.LEAVING,
                        FakeUpstreamProtocol.SIGNED,
                        FakeUpstreamProtocol.attempt(RequestProcessorFixture.ATTEMPT));
        fixture.client.last().bytes("id: 1\ndata: a\n\n");
        fixture.client.last().end();
        assertThat(fixture.caller.body).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(fixture.caller.ended).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"leaving", "declined"})
    void prefillInstanceThatLeavesOrDeclinesGetsNoFurtherPrompt(String notice) {
        RequestProcessorFixture fixture = model();
        fixture.sendRequest("/p/x");
        fixture.grantMemory("hold-1");
        assertThat(lastInstance(fixture)).isEqualTo("f1");
        fixture.client.last().respond(503, "", notice.equals("leaving") ? FakeUpstreamProtocol.LEAVING : DECLINED);
        fixture.sendRequest("/p/y");
        fixture.grantMemory("hold-2");
        assertThat(lastInstance(fixture)).startsWith("d");
        assertThat(fixture.client.last().request().path()).endsWith("/run");
    }

    /** Guards against the second step of a reservation at an instance that named a time during the first. */
    @Test
    void decodeInstanceThatDeclinesDuringTheMemoryCheckGetsNoReservation() {
        RequestProcessorFixture fixture = model();
        fixture.sendRequest("/p/x");
        String declining = lastInstance(fixture);
        fixture.recordNotice(declining, DECLINED);
        fixture.client.last().respond(200, "check");
        assertThat(lastInstance(fixture)).isNotEqualTo(declining);
        assertThat(fixture.client.last().request().path()).contains("/hold/");
    }

    /** A request that was about to start there is placed again, and no release is sent. */
    @Test
    void decodeInstanceThatDeclinesGetsNeitherGenerationNorRelease() {
        RequestProcessorFixture fixture = model();
        fixture.sendRequest("/p/x");
        String declining = lastInstance(fixture);
        fixture.grantMemory("hold-1");
        fixture.recordNotice(declining, DECLINED);
        int sentBefore = fixture.client.sent().size();
        fixture.client.last().respond(200, "handle-1");
        assertThat(fixture.client
                        .sent()
                        .subList(sentBefore, fixture.client.sent().size()))
                .isNotEmpty()
                .noneMatch(sent -> instanceOf(sent).equals(declining));
    }

    @ParameterizedTest
    @EnumSource(
            value = Stage.class,
            names = {"PREFILL", "DECODE"})
    void streamIsRefusedAtOnceOnlyWhenAllDecodeInstancesDecline(Stage stage) {
        RequestProcessorFixture fixture = model();
        fixture.fleet.instances("service").stream()
                .filter(instance -> instance.stage() == stage)
                .forEach(instance -> fixture.pool
                        .notices()
                        .record(
                                instance,
                                new FakeUpstreamProtocol()
                                        .readNotice(503, List.of(FakeUpstreamProtocol.declined(60_000)))));
        fixture.sendRequest("/p/x");
        if (stage == Stage.DECODE) {
            assertThat(fixture.caller.status).isEqualTo(503);
            assertThat(fixture.caller.hasRetryAfter()).isTrue();
            assertThat(fixture.client.sent()).isEmpty();
        } else {
            assertThat(fixture.client.last().request().path()).contains("/hold/");
        }
    }
}
