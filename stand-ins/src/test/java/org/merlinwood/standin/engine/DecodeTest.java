package org.merlinwood.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;
import org.merlinwood.standin.HttpTestClient;
import org.merlinwood.standin.engine.impl.EngineFaults.AnswerFault;

final class DecodeTest {

    private static final int LONG_STREAM_TOKENS = 30_000;

    private final EngineFixture fixture = new EngineFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void returnsCompleteResponseAndReleasesMemory() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        HttpResponse response = fixture.decode(engine, "hello", 20);
        assertThat(EngineFixture.tokens(response)).isEqualTo(ExpectedResponse.tokens("hello", 20));
        assertThat(EngineFixture.lastLine(response).path("length").asInt()).isEqualTo(20);
        HttpTestClient.await(() -> engine.ledger().heldPieces() == 0);
        assertThat(engine.ledger().runs()).singleElement().satisfies(run -> {
            assertThat(run.outcome()).isEqualTo(EngineRun.Outcome.FINISHED);
            assertThat(run.tokens()).isEqualTo(20);
        });
    }

    @Test
    void resumesAfterTheTokensSoFar() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        List<String> expected = ExpectedResponse.tokens("hello", 20);
        String body = EngineFixture.decodeBody("hello", 20, expected.subList(0, 8), "");
        HttpResponse response = fixture.client().post(engine.address(), "/v1/decode", body);
        assertThat(EngineFixture.tokens(response)).isEqualTo(expected.subList(8, 20));
    }

    @Test
    void refusesRequestThatExceedsItsMemory() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder().pieces(2));
        HttpResponse response = fixture.decode(engine, "hello", 4_000);
        assertThat(response.status()).isEqualTo(503);
        assertThat(engine.ledger().heldPieces()).isZero();
    }

    @Test
    void keepsStreamOfDisconnectedClientUntilCancelled() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        HttpStream stream = startLongStream(engine);
        HttpTestClient.await(() -> engine.ledger().heldPieces() > 0);
        stream.cancel();
        assertThat(fixture.client().get(engine.address(), "/v1/streams").text()).contains(EngineFixture.REQUEST);
        fixture.client().send("DELETE", engine.address(), "/v1/streams/" + EngineFixture.REQUEST, "");
        assertThat(engine.ledger().heldPieces()).isZero();
        assertThat(engine.ledger().runs().getFirst().outcome()).isEqualTo(EngineRun.Outcome.CANCELLED);
    }

    @Test
    void cancelsStreamOnDisconnectWhenConfigured() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder().cancelOnDisconnect(true));
        HttpStream stream = startLongStream(engine);
        HttpTestClient.await(() -> engine.ledger().heldPieces() > 0);
        stream.cancel();
        HttpTestClient.await(() -> engine.ledger().heldPieces() == 0);
    }

    @ParameterizedTest
    @EnumSource(
            value = AnswerFault.class,
            names = {"TRUNCATE", "GARBAGE"})
    void appliesFaultToNextResponseOnly(AnswerFault fault) throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        fixture.client().post(engine.administrationAddress(), "/next-answer?fault=" + fault, "");
        HttpResponse faulty = fixture.decode(engine, "hello", 20);
        assertThat(faulty.status()).isEqualTo(200);
        assertThat(faulty.text()).doesNotContain("\"end\"");
        assertThat(EngineFixture.tokens(fixture.decode(engine, "hello", 20))).hasSize(20);
    }

    @Test
    void abortsConnectionOfNextResponse() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        fixture.client().post(engine.administrationAddress(), "/next-answer?fault=cut", "");
        String body = EngineFixture.decodeBody("hello", 20, List.of(), "");
        assertThat(fixture.client()
                        .sendExpectingFailure("POST", engine.address(), "/v1/decode", body)
                        .executionState())
                .isEqualTo(ExecutionState.UNKNOWN);
    }

    @ParameterizedTest
    @ValueSource(strings = {"[crash-engine]", "[crash-decode]"})
    void crashesOnPromptWithCrashMarker(String marker) throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        InetSocketAddress address = engine.address();
        String body = EngineFixture.decodeBody(marker, 20, List.of(), "");
        fixture.client().sendExpectingFailure("POST", address, "/v1/decode", body);
        assertThat(engine.ledger().runs().getFirst().outcome()).isEqualTo(EngineRun.Outcome.CRASHED);
        HttpTestClient.await(() -> fixture.client()
                .httpClient()
                .execute(HttpTestClient.request("GET", address, "/v1/load", ""))
                .toCompletableFuture()
                .get()
                .isLeft());
        assertThat(fixture.client()
                        .sendExpectingFailure("GET", address, "/v1/load", "")
                        .code())
                .isEqualTo(ResultCode.UPSTREAM_UNREACHABLE);
    }

    /** Guards the proofs of prompts that crash engines by a portion that they share, whatever follows it. */
    @ParameterizedTest
    @ValueSource(strings = {"hydrant 1", "hydrant 2"})
    void crashesBeforeFirstTokenOnMarkerInLeadingPortion(String ownPart) throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        String portion = "[crash-decode]".repeat(4 * PrefixBlocks.BLOCK_TOKENS);
        String body = EngineFixture.decodeBody(portion + ownPart, 20, List.of(), "");
        fixture.client().sendExpectingFailure("POST", engine.address(), "/v1/decode", body);
        assertThat(engine.ledger().runs()).singleElement().satisfies(run -> {
            assertThat(run.outcome()).isEqualTo(EngineRun.Outcome.CRASHED);
            assertThat(run.tokens()).isZero();
        });
    }

    @Test
    void sendsNothingWhileSilent() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        fixture.client().post(engine.administrationAddress(), "/silent", "");
        CompletionStage<?> pending = fixture.client()
                .httpClient()
                .execute(HttpTestClient.request(
                        "POST", engine.address(), "/v1/decode", EngineFixture.decodeBody("hello", 20, List.of(), "")));
        assertThat(pending.toCompletableFuture()).isNotDone();
        fixture.client().post(engine.administrationAddress(), "/audible", "");
        assertThat(pending.toCompletableFuture().get(20, TimeUnit.SECONDS)).isNotNull();
    }

    private HttpStream startLongStream(ModelEngine engine) {
        String body = EngineFixture.decodeBody("hello", LONG_STREAM_TOKENS, List.of(), "");
        return fixture.client()
                .httpClient()
                .send(HttpTestClient.request("POST", engine.address(), "/v1/decode", body), new IgnoringListener());
    }
}
