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
import org.merlinwood.standin.Calls;
import org.merlinwood.standin.engine.impl.EngineFaults.AnswerFault;

final class DecodeTest {

    private static final int ENDLESS_TOKENS = 30_000;

    private final EngineFixture fixture = new EngineFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void answersWholeAndFreesItsMemory() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        HttpResponse answer = fixture.decode(engine, "hello", 20);
        assertThat(EngineFixture.tokens(answer)).isEqualTo(ExpectedAnswer.tokens("hello", 20));
        assertThat(EngineFixture.lastLine(answer).path("length").asInt()).isEqualTo(20);
        Calls.await(() -> engine.ledger().heldPieces() == 0);
        assertThat(engine.ledger().runs()).singleElement().satisfies(run -> {
            assertThat(run.outcome()).isEqualTo(EngineRun.Outcome.FINISHED);
            assertThat(run.tokens()).isEqualTo(20);
        });
    }

    @Test
    void resumesBehindTheTokensSoFar() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        List<String> expected = ExpectedAnswer.tokens("hello", 20);
        String body = EngineFixture.decodeBody("hello", 20, expected.subList(0, 8), "");
        HttpResponse answer = fixture.calls().post(engine.address(), "/v1/decode", body);
        assertThat(EngineFixture.tokens(answer)).isEqualTo(expected.subList(8, 20));
    }

    @Test
    void refusesWhatItsMemoryDoesNotHold() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder().pieces(2));
        HttpResponse answer = fixture.decode(engine, "hello", 4_000);
        assertThat(answer.status()).isEqualTo(503);
        assertThat(engine.ledger().heldPieces()).isZero();
    }

    @Test
    void keepsTheStreamOfALostClientUntilItIsCancelled() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        HttpStream stream = startEndless(engine);
        Calls.await(() -> engine.ledger().heldPieces() > 0);
        stream.cancel();
        assertThat(fixture.calls().get(engine.address(), "/v1/streams").text()).contains(EngineFixture.REQUEST);
        fixture.calls().send("DELETE", engine.address(), "/v1/streams/" + EngineFixture.REQUEST, "");
        assertThat(engine.ledger().heldPieces()).isZero();
        assertThat(engine.ledger().runs().getFirst().outcome()).isEqualTo(EngineRun.Outcome.CANCELLED);
    }

    @Test
    void cancelsTheStreamOfALostClientWhereToldTo() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder().cancelOnDisconnect(true));
        HttpStream stream = startEndless(engine);
        Calls.await(() -> engine.ledger().heldPieces() > 0);
        stream.cancel();
        Calls.await(() -> engine.ledger().heldPieces() == 0);
    }

    @ParameterizedTest
    @EnumSource(
            value = AnswerFault.class,
            names = {"TRUNCATE", "GARBAGE"})
    void spoilsTheNextAnswerAlone(AnswerFault fault) throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        fixture.calls().post(engine.administrationAddress(), "/next-answer?fault=" + fault, "");
        HttpResponse spoilt = fixture.decode(engine, "hello", 20);
        assertThat(spoilt.status()).isEqualTo(200);
        assertThat(spoilt.text()).doesNotContain("\"end\"");
        assertThat(EngineFixture.tokens(fixture.decode(engine, "hello", 20))).hasSize(20);
    }

    @Test
    void cutsTheNextAnswer() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        fixture.calls().post(engine.administrationAddress(), "/next-answer?fault=cut", "");
        String body = EngineFixture.decodeBody("hello", 20, List.of(), "");
        assertThat(fixture.calls()
                        .fail("POST", engine.address(), "/v1/decode", body)
                        .executionState())
                .isEqualTo(ExecutionState.UNKNOWN);
    }

    @ParameterizedTest
    @ValueSource(strings = {"[crash-engine]", "[crash-decode]"})
    void endsTheEngineThatRunsACrashingPrompt(String marker) throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        InetSocketAddress address = engine.address();
        String body = EngineFixture.decodeBody(marker, 20, List.of(), "");
        fixture.calls().fail("POST", address, "/v1/decode", body);
        assertThat(engine.ledger().runs().getFirst().outcome()).isEqualTo(EngineRun.Outcome.CRASHED);
        Calls.await(() -> fixture.calls()
                .client()
                .execute(Calls.call("GET", address, "/v1/load", ""))
                .toCompletableFuture()
                .get()
                .isLeft());
        assertThat(fixture.calls().fail("GET", address, "/v1/load", "").code())
                .isEqualTo(ResultCode.UPSTREAM_UNREACHABLE);
    }

    @Test
    void sendsNothingWhileSilent() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        fixture.calls().post(engine.administrationAddress(), "/silent", "");
        CompletionStage<?> waiting = fixture.calls()
                .client()
                .execute(Calls.call(
                        "POST", engine.address(), "/v1/decode", EngineFixture.decodeBody("hello", 20, List.of(), "")));
        assertThat(waiting.toCompletableFuture()).isNotDone();
        fixture.calls().post(engine.administrationAddress(), "/audible", "");
        assertThat(waiting.toCompletableFuture().get(20, TimeUnit.SECONDS)).isNotNull();
    }

    private HttpStream startEndless(ModelEngine engine) {
        String body = EngineFixture.decodeBody("hello", ENDLESS_TOKENS, List.of(), "");
        return fixture.calls()
                .client()
                .send(Calls.call("POST", engine.address(), "/v1/decode", body), new IgnoringListener());
    }
}
