package org.merlinwood.sidecar;

import java.util.List;
import java.util.Optional;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.ModelEngine;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/** A sidecar with a slow decode engine and one entry connection. Closed by the test. */
final class DecodeFixture implements AutoCloseable {

    static final String PROMPT = "station 4 reports a broken hydrant";
    static final int LONG_DECODE_TOKENS = 1_500;

    final ModelEngine engine;
    final SidecarFixture sidecar;
    final PeerConnection connection;

    DecodeFixture() throws Exception {
        EngineOptions options = EngineOptions.builder()
                .models(List.of(SidecarFixture.MODEL))
                .stepMillis(20, 0)
                .build();
        engine = new ModelEngine(SidecarFixture.ANY_PORT, SidecarFixture.ANY_PORT, options, Optional.empty());
        sidecar = new SidecarFixture(InstanceRole.DECODE, engine.address());
        SidecarFixture.await(sidecar.process()::isReady);
        connection = sidecar.connect();
    }

    /** Starts a decode that takes longer than any test, and returns after its first tokens. */
    ProbeExchange startLongDecode(long request) throws InterruptedException {
        return start(request, LONG_DECODE_TOKENS);
    }

    ProbeExchange start(long request, int tokens) throws InterruptedException {
        ProbeExchange exchange = new ProbeExchange(connection).send(EntryFrames.grantRequest(WorkKind.DECODE, request));
        Granted granted = exchange.next().getGranted();
        exchange.send(EntryFrames.frame(EntryFrames.decode(granted, request, PROMPT, tokens)));
        while (!exchange.next().hasAnswerPart()) {
            // skip the response head
        }
        return exchange;
    }

    void awaitMemoryReleased() throws InterruptedException {
        SidecarFixture.await(() -> engine.ledger().heldPieces() == 0);
    }

    void awaitAllUnitsFree() throws InterruptedException {
        SidecarFixture.await(() -> sidecar.process().state().grants().load().freePieces() == SidecarFixture.UNITS);
    }

    @Override
    public void close() {
        sidecar.close();
        engine.close();
    }
}
