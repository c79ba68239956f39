package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.ModelEngine;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/** A prefill instance grants as many prompts as its engine computes concurrently, here one. */
final class PrefillUnitsTest {

    private static final String PROMPT = "station 4 reports a broken hydrant";
    private static final int MEMORY_CAPACITY_TOKENS = 2_000 * SidecarFixture.UNITS;
    private static final int RESULT_MILLIS = 60_000;

    private ModelEngine engine;
    private SidecarFixture fixture;
    private PeerConnection connection;

    @BeforeEach
    void open() throws Exception {
        EngineOptions options = EngineOptions.builder()
                .role("PREFILL")
                .models(List.of(SidecarFixture.MODEL))
                .resultMillis(RESULT_MILLIS)
                .build();
        engine = new ModelEngine(SidecarFixture.ANY_PORT, SidecarFixture.ANY_PORT, options, Optional.empty());
        fixture = new SidecarFixture(InstanceRole.PREFILL, engine.address());
        SidecarFixture.await(fixture.process()::isReady);
        connection = fixture.connect();
    }

    @AfterEach
    void close() {
        fixture.close();
        engine.close();
    }

    @Test
    void secondPromptIsGrantedOnceFirstIsComputedWhileResultIsRetained() throws Exception {
        ProbeExchange first = requestGrant(1);
        Granted granted = first.next().getGranted();
        ProbeExchange second = requestGrant(2);
        assertThat(second.next().hasQueued()).isTrue();
        first.send(EntryFrames.prefill(granted, 1, PROMPT));
        assertThat(first.untilEnd().getLast().hasPrefillDone()).isTrue();
        assertThat(second.next().hasGranted()).isTrue();
        assertThat(engine.ledger().heldPieces()).isPositive();
    }

    @Test
    void promptTakesOneUnitRegardlessOfLength() throws Exception {
        ProbeExchange exchange = new ProbeExchange(connection).send(grantRequestOf(1, MEMORY_CAPACITY_TOKENS));
        assertThat(exchange.next().hasGranted()).isTrue();
        assertThat(fixture.process().state().grants().load().totalPieces()).isEqualTo(1);
    }

    @Test
    void promptLargerThanMemoryIsRefused() throws Exception {
        ProbeExchange exchange = new ProbeExchange(connection).send(grantRequestOf(1, MEMORY_CAPACITY_TOKENS + 1));
        assertThat(exchange.next().getRefused().getCode()).isEqualTo(ResultCode.PROMPT_TOO_LONG.number());
    }

    private ProbeExchange requestGrant(long request) {
        return new ProbeExchange(connection).send(EntryFrames.grantRequest(WorkKind.PREFILL, request));
    }

    private static Frame.Builder grantRequestOf(long request, int promptTokens) {
        return Frame.newBuilder()
                .setGrantRequest(EntryFrames.grantRequestBuilder(WorkKind.PREFILL, request)
                        .setPromptTokens(promptTokens));
    }
}
