package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;

/** Verifies that work and grants are released immediately when a caller disconnects or does not read. */
class CallerLeavesTest {

    private static final String LONG_TOKEN = "x".repeat(8_000);

    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    /** Stage of a model request at which its caller disconnects. */
    enum Stage {
        DECODE_GRANT,
        PREFILL_GRANT,
        PREFILL,
        DECODE,
        STREAM
    }

    @ParameterizedTest
    @EnumSource(Stage.class)
    void disconnectCancelsModelRequestInEveryStage(Stage stage) throws Exception {
        StallingSidecar decode = new StallingSidecar("decode-1", InstanceRole.DECODE, stage);
        StallingSidecar prefill = new StallingSidecar("prefill-1", InstanceRole.PREFILL, stage);
        fixture = new EntryFixture(decode, prefill);
        RawSocketCaller caller = new RawSocketCaller(fixture);
        caller.post("/v1/completions", EntryFixture.STREAMED);
        EntryFixture.await(() -> decode.stalled.get() != null || prefill.stalled.get() != null);

        caller.close();

        EntryFixture.await(() -> decode.count(Frame.BodyCase.CANCEL) == 1);
        EntryFixture.await(() -> fixture.entry.dispatcher().openRequests() == 0);
        boolean isPrefillOpen = stage == Stage.PREFILL_GRANT || stage == Stage.PREFILL;
        EntryFixture.await(() -> prefill.count(Frame.BodyCase.CANCEL) >= (isPrefillOpen ? 1 : 0));
        assertThat(prefill.count(Frame.BodyCase.CANCEL)).isEqualTo(isPrefillOpen ? 1 : 0);
        assertThat(fixture.registry
                        .meter("entry.requests." + ResultCode.CALLER_GONE.name())
                        .getCount())
                .isEqualTo(1);
    }

    @Test
    void grantArrivingAfterDisconnectIsReleased() throws Exception {
        StallingSidecar decode = new StallingSidecar("decode-1", InstanceRole.DECODE, Stage.DECODE_GRANT);
        decode.finishOnCancel = false;
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));
        RawSocketCaller caller = new RawSocketCaller(fixture);
        caller.post("/v1/completions", EntryFixture.STREAMED);
        EntryFixture.await(() -> decode.stalled.get() != null);
        caller.close();
        EntryFixture.await(() -> decode.count(Frame.BodyCase.CANCEL) == 1);

        decode.grant(decode.stalled.get());

        EntryFixture.await(() -> decode.count(Frame.BodyCase.RELEASE) == 1);
    }

    @Test
    void disconnectCancelsPlainRequest() throws Exception {
        AtomicReference<Exchange> running = new AtomicReference<>();
        FakeSidecar plain = new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onPlain(Exchange exchange, GrantUse use, ByteString body) {
                running.set(exchange);
            }
        };
        fixture = new EntryFixture(plain);
        RawSocketCaller caller = new RawSocketCaller(fixture);
        caller.post("/notes", "{}");
        EntryFixture.await(() -> running.get() != null);

        caller.close();

        EntryFixture.await(() -> plain.count(Frame.BodyCase.CANCEL) == 1);
    }

    @Test
    void requestOfCallerThatDoesNotReadIsCancelled() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {
                for (int offset = 0; offset < 2_000; offset++) {
                    part(exchange, execute.getUse().getRequest(), offset, LONG_TOKEN);
                }
            }
        };
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));
        try (RawSocketCaller caller = new RawSocketCaller(fixture)) {
            caller.post("/v1/completions", EntryFixture.STREAMED);

            EntryFixture.await(() -> decode.count(Frame.BodyCase.CANCEL) == 1);
            EntryFixture.await(() -> fixture.entry.dispatcher().openRequests() == 0);
        }
        assertThat(fixture.registry
                        .meter("entry.requests." + ResultCode.CALLER_TOO_SLOW.name())
                        .getCount())
                .isEqualTo(1);
    }

    @Test
    void pipelinedRequestIsProcessedAfterTheFirst() throws Exception {
        StallingSidecar decode = new StallingSidecar("decode-1", InstanceRole.DECODE, Stage.DECODE_GRANT);
        FakeSidecar plain = new FakeSidecar("plain-1", InstanceRole.PLAIN);
        fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL), plain);
        try (RawSocketCaller caller = new RawSocketCaller(fixture)) {
            caller.post("/v1/completions", EntryFixture.STREAMED);
            EntryFixture.await(() -> decode.stalled.get() != null);
            caller.post("/notes", "{}");
            TimeUnit.MILLISECONDS.sleep(500);

            decode.grant(decode.stalled.get());

            assertThat(caller.readUntil("[DONE]")).contains("four");
            assertThat(caller.readUntil("{\"ran\":true}")).contains("201");
        }
    }

    /** Sidecar that does not respond in one stage. */
    private static final class StallingSidecar extends FakeSidecar {

        private final AtomicReference<Exchange> stalled = new AtomicReference<>();
        private final Stage stage;
        private volatile boolean finishOnCancel = true;

        private StallingSidecar(String name, InstanceRole role, Stage stage) {
            super(name, role);
            this.stage = stage;
        }

        @Override
        void onGrantRequest(Exchange exchange, Frame frame) {
            if (stage == (role == InstanceRole.DECODE ? Stage.DECODE_GRANT : Stage.PREFILL_GRANT)) {
                queued(exchange);
                stalled.set(exchange);
            } else {
                grant(exchange);
            }
        }

        @Override
        void onPrefill(Exchange exchange, GrantUse use) {
            if (stage == Stage.PREFILL) {
                stalled.set(exchange);
            } else {
                super.onPrefill(exchange, use);
            }
        }

        @Override
        void onDecode(Exchange exchange, ExecuteDecode execute) {
            switch (stage) {
                case DECODE -> stalled.set(exchange);
                case STREAM -> {
                    part(exchange, execute.getUse().getRequest(), 0, "one");
                    stalled.set(exchange);
                }
                default -> super.onDecode(exchange, execute);
            }
        }

        @Override
        void onCancel(Exchange exchange) {
            if (finishOnCancel) {
                super.onCancel(exchange);
            }
        }
    }
}
