package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.ModelEngine;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/** Guards against requests, no two alike, that crash one engine after another by a portion that they share. */
final class CrashingPromptPortionTest {

    /** Crashes that may come before the portion is known. */
    private static final int CRASHES = 2;

    /** Time between two crashes, which don't count as one event then, in milliseconds. */
    private static final long APART_MILLIS = 500;

    private static final String COMMON = "c".repeat(PrefixBlocks.BLOCK_BYTES);
    private static final String CRASHING = COMMON + padded("[crash-decode]");
    private static final String HARMLESS = COMMON + padded("harmless");

    private int requests;

    @Test
    void requestsWithPortionThatCrashedTwoEnginesAreRefusedAndThoseBesideThemRun() throws Exception {
        ModelEngine engine = engine(0);
        int port = engine.address().getPort();
        try (SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            PeerConnection connection = fixture.connect();
            for (int crash = 0; crash < CRASHES; crash++) {
                assertThat(run(connection, CRASHING)
                                .untilEnd()
                                .getLast()
                                .getAnswerEnd()
                                .getCode())
                        .isEqualTo(ResultCode.UPSTREAM_CRASHED.number());
                engine.close();
                engine = engine(port);
                SidecarFixture.await(() -> refusalCode(connection, "other") == 0);
                TimeUnit.MILLISECONDS.sleep(APART_MILLIS);
            }
            assertThat(refusalCode(connection, CRASHING)).isEqualTo(ResultCode.REQUEST_QUARANTINED.number());
            run(connection, HARMLESS).untilEnd();
            assertThat(engine.ledger().runs())
                    .extracting(EngineRun::outcome)
                    .containsExactly(EngineRun.Outcome.FINISHED);
        } finally {
            engine.close();
        }
    }

    /** Runs a request whose prompt begins with a portion and that did not come before. */
    private ProbeExchange run(PeerConnection connection, String portion) throws InterruptedException {
        requests++;
        String prompt = portion + " of hydrant " + requests;
        ProbeExchange exchange = requestGrant(connection, requests, prompt);
        Frame response = exchange.next();
        while (response.hasQueued()) {
            response = exchange.next();
        }
        Granted granted = response.getGranted();
        return exchange.send(EntryFrames.frame(EntryFrames.decode(granted, requests, prompt, 10)));
    }

    /** Returns the code of the refusal of a new request, or 0 if a grant was issued. It is cancelled in both cases. */
    private int refusalCode(PeerConnection connection, String portion) {
        try {
            requests++;
            ProbeExchange exchange = requestGrant(connection, requests, portion + " of hydrant " + requests);
            Frame response = exchange.next();
            exchange.send(EntryFrames.cancel(requests));
            return response.getRefused().getCode();
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static ProbeExchange requestGrant(PeerConnection connection, long request, String prompt) {
        return new ProbeExchange(connection)
                .send(Frame.newBuilder()
                        .setGrantRequest(EntryFrames.grantRequestBuilder(WorkKind.DECODE, request)
                                .addAllPrefixBlocks(PrefixBlocks.of(prompt).hashes())
                                .setFingerprint(ByteString.copyFromUtf8(prompt))));
    }

    private static String padded(String text) {
        return text + "x".repeat(PrefixBlocks.BLOCK_BYTES - text.length());
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
