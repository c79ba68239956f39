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

/** A request that ends its engine is found, and those beside it are not taken for it. */
final class CrashingRequestTest {

    private static final String CRASHING = "report [crash-decode] of hydrant 3";
    private static final String HARMLESS = "report of hydrant 4";

    @Test
    void aRequestThatRanAloneIsQuarantinedAtOnce() throws Exception {
        try (ModelEngine engine = engine(0);
                SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            PeerConnection connection = fixture.connect();
            int port = engine.address().getPort();
            Frame end = run(connection, 1, CRASHING, 10).untilEnd().getLast();
            assertThat(end.getAnswerEnd().getCode()).isEqualTo(ResultCode.UPSTREAM_CRASHED.number());
            end(engine);
            try (ModelEngine second = engine(port)) {
                SidecarFixture.await(
                        () -> refusalCode(connection, 2, CRASHING) == ResultCode.REQUEST_QUARANTINED.number());
                assertThat(second.ledger().runs()).isEmpty();
            }
        }
    }

    @Test
    void aRequestBesideItIsRunAloneAndAnsweredWhole() throws Exception {
        try (ModelEngine engine = engine(0);
                SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            PeerConnection connection = fixture.connect();
            int port = engine.address().getPort();
            ProbeExchange harmless = run(connection, 1, HARMLESS, 1_000);
            SidecarFixture.await(() -> engine.ledger().runs().size() == 1);
            run(connection, 2, CRASHING, 10).untilEnd();
            harmless.untilEnd();
            assertThat(fixture.process().state().suspicion().suspects()).isEqualTo(2);
            end(engine);
            try (ModelEngine second = engine(port)) {
                SidecarFixture.await(() -> refusalCode(connection, 9, "other") == 0);
                List<Frame> frames = run(connection, 3, HARMLESS, 20).untilEnd();
                assertThat(frames.stream()
                                .filter(Frame::hasAnswerPart)
                                .flatMap(frame -> frame.getAnswerPart().getTokensList().stream()))
                        .isEqualTo(ExpectedResponse.tokens(HARMLESS, 20));
                SidecarFixture.await(() -> fixture.process().state().suspicion().suspects() == 1);
                assertThat(second.ledger().runs()).hasSize(1);
            }
        }
    }

    // ------------------------------------------------------------------ internals

    private static ProbeExchange run(PeerConnection connection, long request, String prompt, int tokens)
            throws InterruptedException {
        ProbeExchange exchange = demand(connection, request, prompt);
        Frame answer = exchange.next();
        while (answer.hasQueued()) {
            answer = exchange.next();
        }
        Granted granted = answer.getGranted();
        return exchange.send(EntryFrames.frame(EntryFrames.decode(granted, request, prompt, tokens)));
    }

    /** Returns the code of the refusal, or 0 if a grant was given, which is then given back. */
    private static int refusalCode(PeerConnection connection, long request, String prompt) {
        try {
            ProbeExchange exchange = demand(connection, request, prompt);
            Frame answer = exchange.next();
            exchange.send(EntryFrames.cancel(request));
            return answer.getRefused().getCode();
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static ProbeExchange demand(PeerConnection connection, long request, String prompt) {
        return new ProbeExchange(connection)
                .send(Frame.newBuilder()
                        .setGrantRequest(EntryFrames.request(WorkKind.DECODE, request)
                                .setFingerprint(ByteString.copyFromUtf8(prompt))));
    }

    /** Waits until the crashed engine has given its port back. */
    private static void end(ModelEngine crashed) {
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
