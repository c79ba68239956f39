package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.ExpectedResponse;
import org.merlinwood.standin.engine.ModelEngine;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/** A request that crashes its engine is quarantined; requests that ran beside it are only run on trial. */
final class CrashingRequestTest {

    private static final String CRASHING_PROMPT = "report [crash-decode] of hydrant 3";
    private static final String HARMLESS_PROMPT = "report of hydrant 4";

    @Test
    void requestThatRanAloneDuringCrashIsQuarantined() throws Exception {
        try (ModelEngine engine = engine(0);
                SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            PeerConnection connection = fixture.connect();
            int port = engine.address().getPort();
            Frame end = run(connection, 1, CRASHING_PROMPT, 10).untilEnd().getLast();
            assertThat(end.getAnswerEnd().getCode()).isEqualTo(ResultCode.UPSTREAM_CRASHED.number());
            awaitPortReleased(engine);
            try (ModelEngine second = engine(port)) {
                SidecarFixture.await(
                        () -> refusalCode(connection, 2, CRASHING_PROMPT) == ResultCode.REQUEST_QUARANTINED.number());
                assertThat(second.ledger().runs()).isEmpty();
            }
        }
    }

    @Test
    void requestRunningDuringCrashIsIsolatedAndCompletes() throws Exception {
        try (ModelEngine engine = engine(0);
                SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            PeerConnection connection = fixture.connect();
            int port = engine.address().getPort();
            ProbeExchange harmless = run(connection, 1, HARMLESS_PROMPT, 1_000);
            SidecarFixture.await(() -> engine.ledger().runs().size() == 1);
            run(connection, 2, CRASHING_PROMPT, 10).untilEnd();
            harmless.untilEnd();
            assertThat(fixture.process().state().suspicion().suspects()).isEqualTo(2);
            awaitPortReleased(engine);
            try (ModelEngine second = engine(port)) {
                SidecarFixture.await(() -> refusalCode(connection, 9, "other") == 0);
                List<Frame> frames = run(connection, 3, HARMLESS_PROMPT, 20).untilEnd();
                assertThat(frames.stream()
                                .filter(Frame::hasAnswerPart)
                                .flatMap(frame -> frame.getAnswerPart().getTokensList().stream()))
                        .isEqualTo(ExpectedResponse.tokens(HARMLESS_PROMPT, 20));
                SidecarFixture.await(() -> fixture.process().state().suspicion().suspects() == 1);
                assertThat(second.ledger().runs()).hasSize(1);
            }
        }
    }

    private static ProbeExchange run(PeerConnection connection, long request, String prompt, int tokens)
            throws InterruptedException {
        ProbeExchange exchange = requestGrant(connection, request, prompt);
        Frame response = exchange.next();
        while (response.hasQueued()) {
            response = exchange.next();
        }
        Granted granted = response.getGranted();
        return exchange.send(EntryFrames.frame(EntryFrames.decode(granted, request, prompt, tokens)));
    }

    /** Returns the code of the refusal, or 0 if a grant was issued. The request is cancelled in both cases. */
    private static int refusalCode(PeerConnection connection, long request, String prompt) {
        try {
            ProbeExchange exchange = requestGrant(connection, request, prompt);
            Frame response = exchange.next();
            exchange.send(EntryFrames.cancel(request));
            return response.getRefused().getCode();
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static ProbeExchange requestGrant(PeerConnection connection, long request, String prompt) {
        return new ProbeExchange(connection)
                .send(Frame.newBuilder()
                        .setGrantRequest(EntryFrames.grantRequestBuilder(WorkKind.DECODE, request)
                                .setFingerprint(ByteString.copyFromUtf8(prompt))));
    }

    /** Closes the crashed engine, so that its port can be bound again. */
    private static void awaitPortReleased(ModelEngine crashed) {
        crashed.close();
    }

    private static ModelEngine engine(int port) {
        EngineOptions options = EngineOptions.builder()
                .models(List.of(SidecarFixture.MODEL))
                .stepMillis(10, 0)
                .build();
        return new ModelEngine(
                new InetSocketAddress("127.0.0.1", port), SidecarFixture.ANY_PORT, options, Optional.empty());
    }
}
