package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.AnswerPart;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.RequestIdentity;

/** Tests responses to model requests when sidecars, engines and connections fail. */
class ModelFailureTest {

    private static final String COMPLETE_TEXT = "one two three four";

    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    // ------------------------------------------------------------------ interrupted responses

    /** Ways in which an attempt is interrupted after two tokens. */
    enum Break {
        TRUNCATED,
        GAP,
        FAILED,
        GARBAGE,
        CONNECTION_LOST
    }

    @ParameterizedTest
    @EnumSource(Break.class)
    void interruptedStreamIsResumedWithoutGapsOrDuplicates(Break kind) throws Exception {
        FlakyDecode first = new FlakyDecode("decode-1", (exchange, use) -> {});
        FlakyDecode second = new FlakyDecode("decode-2", (exchange, use) -> {});
        AtomicInteger interruptions = new AtomicInteger();
        for (FlakyDecode sidecar : List.of(first, second)) {
            sidecar.afterTwoTokens = (exchange, use) -> {
                if (interruptions.getAndIncrement() == 0) {
                    interrupt(sidecar, kind, exchange, use.getRequest());
                } else {
                    sidecar.finishResponse(exchange, use.getRequest());
                }
            };
        }
        fixture = new EntryFixture(first, second, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        List<String> texts;
        try (var lines =
                fixture.stream("/v1/completions", EntryFixture.STREAMED).body()) {
            texts = texts(lines.toList());
        }

        assertThat(texts).containsExactlyElementsOf(FakeSidecar.TOKENS);
        assertThat(interruptions.get()).isPositive();
    }

    @Test
    void interruptedWholeResponseIsResumed() throws Exception {
        FlakyDecode first = new FlakyDecode(
                "decode-1", (exchange, use) -> exchange.connection().close(ResultCode.CONNECTION_LOST));
        fixture = new EntryFixture(first, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        HttpResponse<String> response = fixture.post("/v1/completions", EntryFixture.COMPLETION);

        Frame resumed = first.received.stream()
                .filter(Frame::hasExecuteDecode)
                .reduce((earlier, later) -> later)
                .orElseThrow();
        assertThat(text(response)).isEqualTo(COMPLETE_TEXT);
        assertThat(resumed.getExecuteDecode().getTokensSoFarList()).containsExactly("one", " two");
    }

    @Test
    void responseIsResumedAtOnlyEngineAfterTwoLostConnections() throws Exception {
        AtomicInteger decodes = new AtomicInteger();
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {
                if (decodes.getAndIncrement() < 2) {
                    exchange.connection().close(ResultCode.CONNECTION_LOST);
                } else {
                    super.onDecode(exchange, execute);
                }
            }
        };
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                .isEqualTo(COMPLETE_TEXT);
    }

    @Test
    void repeatedlyInterruptedResponseFailsWithItsCode() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {
                fail(
                        exchange,
                        execute.getUse().getRequest(),
                        Failure.of(ResultCode.UPSTREAM_CRASHED, "the engine ended"));
            }
        };
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        assertFailed(
                fixture.post("/v1/completions", EntryFixture.COMPLETION),
                ResultCode.UPSTREAM_CRASHED,
                ExecutionState.UNKNOWN);
    }

    @Test
    void failedStreamEndsWithErrorEventAndNoDoneMarker() throws Exception {
        FlakyDecode decode = new FlakyDecode("decode-1", (exchange, use) -> {});
        decode.afterTwoTokens = (exchange, use) ->
                decode.fail(exchange, use.getRequest(), Failure.of(ResultCode.UPSTREAM_CRASHED, "the engine ended"));
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        List<String> lines;
        try (var body = fixture.stream("/v1/completions", EntryFixture.STREAMED).body()) {
            lines = body.toList();
        }

        assertThat(lines).contains("event: error").doesNotContain("data: [DONE]");
        assertThat(lines).anyMatch(line -> line.contains("\"code\":4004"));
    }

    // ------------------------------------------------------------------ foreign and duplicate frames

    @Test
    void framesOfOtherRequestsAttemptsAndIncarnationsAreDroppedAndCounted() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {
                RequestIdentity own = execute.getUse().getRequest();
                part(exchange, own.toBuilder().setRequestLow(7).build(), 0, "crossed");
                part(exchange, own.toBuilder().setAttempt(own.getAttempt() + 1).build(), 0, "late");
                exchange.send(Frame.newBuilder()
                        .setAnswerPart(AnswerPart.newBuilder()
                                .setRequest(own)
                                .setIncarnation(incarnation + 1)
                                .addTokens("of an earlier life")));
                exchange.send(Frame.newBuilder()
                        .setAnswerEnd(AnswerEnd.newBuilder()
                                .setRequest(own.toBuilder().setRequestHigh(7))
                                .setIncarnation(incarnation)));
                super.onDecode(exchange, execute);
            }
        };
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        HttpResponse<String> response = fixture.post("/v1/completions", EntryFixture.COMPLETION);

        assertThat(text(response)).isEqualTo(COMPLETE_TEXT);
        assertThat(fixture.droppedFrames()).isEqualTo(4);
    }

    @Test
    void duplicatePartsAreDeliveredOnce() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {
                RequestIdentity own = execute.getUse().getRequest();
                part(exchange, own, 0, "one", " two");
                part(exchange, own, 1, " two", " three");
                part(exchange, own, 0, "one");
                part(exchange, own, 3, " four");
                end(exchange, own, 4);
            }
        };
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                .isEqualTo(COMPLETE_TEXT);
    }

    // ------------------------------------------------------------------ grants

    @Test
    void refusedDecodeGrantIsRequestedFromAnotherInstance() throws Exception {
        RefusingSidecar first = new RefusingSidecar("decode-1", InstanceRole.DECODE, 1);
        RefusingSidecar second = new RefusingSidecar("decode-2", InstanceRole.DECODE, 1);
        first.grantRequestCount = second.grantRequestCount;
        fixture = new EntryFixture(first, second, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                .isEqualTo(COMPLETE_TEXT);
        assertThat(first.count(Frame.BodyCase.GRANT_REQUEST) + second.count(Frame.BodyCase.GRANT_REQUEST))
                .isEqualTo(2);
    }

    @Test
    void requestRefusedByAllInstancesFailsWithRetryAfter() throws Exception {
        fixture = new EntryFixture(
                new RefusingSidecar("decode-1", InstanceRole.DECODE, Integer.MAX_VALUE),
                new RefusingSidecar("decode-2", InstanceRole.DECODE, Integer.MAX_VALUE),
                new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        HttpResponse<String> response = fixture.post("/v1/completions", EntryFixture.COMPLETION);

        assertFailed(response, ResultCode.NO_CAPACITY, ExecutionState.NOT_RUN);
        assertThat(EntryFixture.json(response).at("/error/retryAfterMillis").longValue())
                .isPositive();
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }

    @Test
    void refusedPrefillReleasesDecodeGrant() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE);
        fixture = new EntryFixture(decode, new RefusingSidecar("prefill-1", InstanceRole.PREFILL, Integer.MAX_VALUE));

        HttpResponse<String> response = fixture.post("/v1/completions", EntryFixture.COMPLETION);

        assertFailed(response, ResultCode.NO_CAPACITY, ExecutionState.NOT_RUN);
        EntryFixture.await(() -> decode.count(Frame.BodyCase.RELEASE) == 1);
    }

    @Test
    void failedPrefillReleasesDecodeGrantAndRestarts() throws Exception {
        AtomicInteger prefills = new AtomicInteger();
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE);
        fixture = new EntryFixture(
                decode, new FailingPrefill("prefill-1", prefills), new FailingPrefill("prefill-2", prefills));

        assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                .isEqualTo(COMPLETE_TEXT);
        assertThat(decode.count(Frame.BodyCase.RELEASE)).isEqualTo(1);
    }

    @Test
    void failedTransferIsRetriedAndThenLeftToDecodeEngine() throws Exception {
        FakeSidecar prefill = new FakeSidecar("prefill-1", InstanceRole.PREFILL);
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {
                if (execute.hasCache()) {
                    fail(
                            exchange,
                            execute.getUse().getRequest(),
                            Failure.of(ResultCode.TRANSFER_FAILED, "the cache was evicted"));
                } else {
                    super.onDecode(exchange, execute);
                }
            }
        };
        fixture = new EntryFixture(decode, prefill);

        assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                .isEqualTo(COMPLETE_TEXT);
        assertThat(prefill.count(Frame.BodyCase.EXECUTE_PREFILL)).isEqualTo(2);
    }

    @Test
    void grantLostWithConnectionIsRequestedAgain() throws Exception {
        AtomicInteger grants = new AtomicInteger();
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                grant(exchange);
                if (grants.getAndIncrement() == 0) {
                    exchange.connection().close(ResultCode.CONNECTION_LOST);
                }
            }
        };
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                .isEqualTo(COMPLETE_TEXT);
        assertThat(grants.get()).isGreaterThanOrEqualTo(2);
    }

    @Test
    void unansweredGrantRequestIsCancelledAndRepeatedOnce() throws Exception {
        AtomicInteger grantRequests = new AtomicInteger();
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (grantRequests.getAndIncrement() > 0) {
                    grant(exchange);
                }
            }
        };
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                .isEqualTo(COMPLETE_TEXT);
        assertThat(grantRequests.get()).isEqualTo(2);
        EntryFixture.await(
                () -> decode.received.stream().filter(Frame::hasCancel).count() == 1);
        assertThat(decode.lostConnections.get()).isZero();
    }

    @Test
    void silentSidecarIsReplacedByAnother() throws Exception {
        FakeSidecar silent = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {}
        };
        FakeSidecar decode = new FakeSidecar("decode-2", InstanceRole.DECODE);
        fixture = new EntryFixture(silent, decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        for (int request = 0; request < 4; request++) {
            assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                    .isEqualTo(COMPLETE_TEXT);
        }
    }

    @Test
    void interruptedResponseIsResumedWithExhaustedRetryBudget() throws Exception {
        AtomicInteger interruptions = new AtomicInteger();
        FlakyDecode first = new FlakyDecode("decode-1", (exchange, use) -> {});
        FlakyDecode second = new FlakyDecode("decode-2", (exchange, use) -> {});
        for (FlakyDecode sidecar : List.of(first, second)) {
            sidecar.afterTwoTokens = (exchange, use) -> {
                interruptions.incrementAndGet();
                interrupt(sidecar, Break.TRUNCATED, exchange, use.getRequest());
            };
        }
        fixture = new EntryFixture(0, first, second, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        for (int request = 0; request < 30; request++) {
            assertThat(text(fixture.post("/v1/completions", EntryFixture.COMPLETION)))
                    .isEqualTo(COMPLETE_TEXT);
        }
        assertThat(interruptions.get()).isEqualTo(30);
    }

    @Test
    void retryBudgetLimitsRetries() throws Exception {
        RefusingSidecar first = new RefusingSidecar("decode-1", InstanceRole.DECODE, Integer.MAX_VALUE);
        RefusingSidecar second = new RefusingSidecar("decode-2", InstanceRole.DECODE, Integer.MAX_VALUE);
        fixture = new EntryFixture(0, first, second, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        HttpResponse<String> last = null;
        for (int request = 0; request < 30; request++) {
            last = fixture.post("/v1/completions", EntryFixture.COMPLETION);
        }

        assertFailed(last, ResultCode.RETRY_BUDGET_SPENT, ExecutionState.NOT_RUN);
        assertThat(first.count(Frame.BodyCase.GRANT_REQUEST) + second.count(Frame.BodyCase.GRANT_REQUEST))
                .isEqualTo(40);
    }

    @Test
    void quarantinedRequestFailsWithoutRetry() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                refuse(exchange, Failure.of(ResultCode.REQUEST_QUARANTINED, "it crashed engines"));
            }
        };
        fixture = new EntryFixture(
                decode,
                new FakeSidecar("decode-2", InstanceRole.DECODE) {
                    @Override
                    void onGrantRequest(Exchange exchange, Frame frame) {
                        refuse(exchange, Failure.of(ResultCode.REQUEST_QUARANTINED, "it crashed engines"));
                    }
                },
                new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        assertFailed(
                fixture.post("/v1/completions", EntryFixture.COMPLETION),
                ResultCode.REQUEST_QUARANTINED,
                ExecutionState.NOT_RUN);
        assertThat(fixture.registry.meter("entry.retries").getCount()).isZero();
    }

    // ------------------------------------------------------------------ internals

    private static void interrupt(FlakyDecode sidecar, Break kind, Exchange exchange, RequestIdentity request) {
        switch (kind) {
            case TRUNCATED -> sidecar.end(exchange, request, FakeSidecar.TOKENS.size());
            case GAP -> sidecar.part(exchange, request, 3, " four");
            case FAILED -> sidecar.fail(exchange, request, Failure.of(ResultCode.UPSTREAM_CRASHED, "the engine ended"));
            case GARBAGE ->
                exchange.send(Frame.newBuilder()
                        .setAnswerEnd(AnswerEnd.newBuilder()
                                .setRequest(request)
                                .setCode(424_242)
                                .setExecutionValue(99)
                                .setLength(-1)));
            case CONNECTION_LOST -> exchange.connection().close(ResultCode.CONNECTION_LOST);
        }
    }

    private static List<String> texts(List<String> lines) throws Exception {
        return lines.stream()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> line.substring("data: ".length()))
                .map(ModelFailureTest::textOfPart)
                .filter(text -> !text.isEmpty())
                .toList();
    }

    private static String textOfPart(String json) {
        try {
            return EntryFixture.json(json).at("/choices/0/text").asText();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static String text(HttpResponse<String> response) throws Exception {
        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        return EntryFixture.json(response).at("/choices/0/text").textValue();
    }

    private static void assertFailed(HttpResponse<String> response, ResultCode code, ExecutionState execution)
            throws Exception {
        JsonNode error = EntryFixture.json(response).path("error");
        assertThat(error.path("name").asText()).isEqualTo(code.name());
        assertThat(response.statusCode()).isEqualTo(code.httpStatus());
        assertThat(error.path("execution").asText()).isEqualTo(execution.name());
    }

    /** Sends two tokens and then runs the action of the test. Completes a resumed response. */
    private static final class FlakyDecode extends FakeSidecar {

        private volatile BiConsumer<Exchange, GrantUse> afterTwoTokens;

        private FlakyDecode(String name, BiConsumer<Exchange, GrantUse> afterTwoTokens) {
            super(name, InstanceRole.DECODE);
            this.afterTwoTokens = afterTwoTokens;
        }

        @Override
        void onDecode(Exchange exchange, ExecuteDecode execute) {
            if (execute.getTokensSoFarCount() > 0) {
                super.onDecode(exchange, execute);
                return;
            }
            part(exchange, execute.getUse().getRequest(), 0, "one");
            part(exchange, execute.getUse().getRequest(), 1, " two");
            afterTwoTokens.accept(exchange, execute.getUse());
        }

        private void finishResponse(Exchange exchange, RequestIdentity request) {
            part(exchange, request, 2, " three", " four");
            end(exchange, request, 4);
        }
    }

    /** Refuses the first grant requests for lack of capacity. */
    private static final class RefusingSidecar extends FakeSidecar {

        private AtomicInteger grantRequestCount = new AtomicInteger();
        private final int refusals;

        private RefusingSidecar(String name, InstanceRole role, int refusals) {
            super(name, role);
            this.refusals = refusals;
        }

        @Override
        void onGrantRequest(Exchange exchange, Frame frame) {
            if (grantRequestCount.getAndIncrement() < refusals) {
                refuse(exchange, Failure.retryable(ResultCode.NO_CAPACITY, "full", 300));
            } else {
                grant(exchange);
            }
        }
    }

    /** Fails the first prefill among all sidecars that share the counter. */
    private static final class FailingPrefill extends FakeSidecar {

        private final AtomicInteger prefills;

        private FailingPrefill(String name, AtomicInteger prefills) {
            super(name, InstanceRole.PREFILL);
            this.prefills = prefills;
        }

        @Override
        void onPrefill(Exchange exchange, GrantUse use) {
            if (prefills.getAndIncrement() == 0) {
                fail(exchange, use.getRequest(), Failure.of(ResultCode.UPSTREAM_CRASHED, "the engine ended"));
            } else {
                super.onPrefill(exchange, use);
            }
        }
    }
}
