package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.ModelEngine;

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
        ModelEngine engine = DecodeRequests.engine(0);
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
                engine = DecodeRequests.engine(port);
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

    /**
     * Guards against sound streams that are refused since the streams that moved to another engine when the first one
     * crashed had got no token there yet when it crashed as well.
     */
    @Test
    void portionOfResumedResponsesIsNotSuspected() throws Exception {
        ModelEngine engine = DecodeRequests.engine(0);
        int port = engine.address().getPort();
        try (SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            PeerConnection connection = fixture.connect();
            for (int crash = 0; crash < CRASHES; crash++) {
                assertThat(resume(connection, CRASHING)
                                .untilEnd()
                                .getLast()
                                .getAnswerEnd()
                                .getCode())
                        .isEqualTo(ResultCode.UPSTREAM_CRASHED.number());
                engine.close();
                engine = DecodeRequests.engine(port);
                SidecarFixture.await(() -> refusalCode(connection, "other") == 0);
                TimeUnit.MILLISECONDS.sleep(APART_MILLIS);
            }
            assertThat(refusalCode(connection, CRASHING)).isZero();
        } finally {
            engine.close();
        }
    }

    private ProbeExchange resume(PeerConnection connection, String portion) throws InterruptedException {
        requests++;
        String prompt = portion + " of hydrant " + requests;
        return DecodeRequests.resume(connection, requests, prompt, 10, List.of("one"));
    }

    /** Runs a request whose prompt begins with a portion and that did not come before. */
    private ProbeExchange run(PeerConnection connection, String portion) throws InterruptedException {
        requests++;
        return DecodeRequests.run(connection, requests, portion + " of hydrant " + requests, 10);
    }

    /** Returns the code of the refusal of a new request, or 0 if a grant was issued. It is cancelled in both cases. */
    private int refusalCode(PeerConnection connection, String portion) {
        requests++;
        return DecodeRequests.refusalCode(connection, requests, portion + " of hydrant " + requests);
    }

    private static String padded(String text) {
        return text + "x".repeat(PrefixBlocks.BLOCK_BYTES - text.length());
    }
}
