package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/** The engine's memory is released when the request is cancelled, the entry disconnects or the sidecar restarts. */
final class MemoryReleaseTest {

    private DecodeFixture fixture;

    @BeforeEach
    void open() throws Exception {
        fixture = new DecodeFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void cancelReleasesMemoryAndEndsExchange() throws Exception {
        ProbeExchange exchange = fixture.startLongDecode(1);
        exchange.send(EntryFrames.cancel(1));
        assertThat(exchange.untilEnd().getLast().getAnswerEnd().getCode()).isEqualTo(ResultCode.CANCELLED.number());
        fixture.awaitMemoryReleased();
        fixture.awaitAllUnitsFree();
    }

    @Test
    void cancelOnOtherConnectionReleasesMemory() throws Exception {
        fixture.startLongDecode(1);
        PeerConnection other = fixture.sidecar.connect();
        new ProbeExchange(other).send(EntryFrames.cancel(1));
        fixture.awaitMemoryReleased();
    }

    @Test
    void closedConnectionReleasesMemory() throws Exception {
        fixture.startLongDecode(1);
        fixture.connection.close(ResultCode.CONNECTION_LOST);
        fixture.awaitMemoryReleased();
        fixture.awaitAllUnitsFree();
    }

    @Test
    void restartedSidecarEndsStreamsOfPredecessorBeforeReady() throws Exception {
        fixture.startLongDecode(1);
        fixture.sidecar.restart();
        SidecarFixture.await(fixture.sidecar.process()::isReady);
        assertThat(fixture.engine.ledger().heldPieces()).isZero();
    }

    @Test
    void unconfirmedDeleteIsRetried() throws Exception {
        ProbeExchange exchange = fixture.startLongDecode(1);
        postAdministration("/silent");
        exchange.send(EntryFrames.cancel(1));
        exchange.untilEnd();
        SidecarFixture.await(() -> !fixture.sidecar.process().state().ending().isEmpty());
        assertThat(fixture.engine.ledger().heldPieces()).isPositive();
        postAdministration("/audible");
        fixture.awaitMemoryReleased();
        fixture.awaitAllUnitsFree();
    }

    @Test
    void unitsStayReservedUntilEngineConfirms() throws Exception {
        ProbeExchange exchange = fixture.startLongDecode(1);
        postAdministration("/silent");
        exchange.send(EntryFrames.cancel(1));
        exchange.untilEnd();
        assertThat(fixture.sidecar.process().state().grants().load().freePieces())
                .isLessThan(SidecarFixture.UNITS);
        postAdministration("/audible");
        fixture.awaitAllUnitsFree();
    }

    @Test
    void cancelBeforeExecuteInvalidatesGrant() throws Exception {
        ProbeExchange exchange =
                new ProbeExchange(fixture.connection).send(EntryFrames.grantRequest(WorkKind.DECODE, 1));
        Granted granted = exchange.next().getGranted();
        exchange.send(EntryFrames.cancel(1));
        exchange.send(EntryFrames.frame(EntryFrames.decode(granted, 1, DecodeFixture.PROMPT, 10)));
        Frame end = exchange.untilEnd().getLast();
        assertThat(end.getRefused().getCode()).isEqualTo(ResultCode.CANCELLED.number());
        fixture.start(2, 5).untilEnd();
        assertThat(fixture.engine.ledger().runs()).hasSize(1);
    }

    private void postAdministration(String path) throws Exception {
        InetSocketAddress address = fixture.engine.administrationAddress();
        URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            client.send(request, HttpResponse.BodyHandlers.discarding());
        }
    }
}
