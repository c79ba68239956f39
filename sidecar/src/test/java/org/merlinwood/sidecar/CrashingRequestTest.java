package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.sidecar.DecodeRequests.engine;
import static org.merlinwood.sidecar.DecodeRequests.refusalCode;
import static org.merlinwood.sidecar.DecodeRequests.run;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.engine.ExpectedResponse;
import org.merlinwood.standin.engine.ModelEngine;
import org.merlinwood.wire.Frame;

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

    /** Closes the crashed engine, so that its port can be bound again. */
    private static void awaitPortReleased(ModelEngine crashed) {
        crashed.close();
    }
}
