package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.engine.EngineOptions;
import org.merlinwood.standin.engine.ExpectedResponse;
import org.merlinwood.standin.engine.ModelEngine;
import org.merlinwood.standin.plain.PlainService;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.Execution;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/** Grant and execution of each kind of work, end to end. */
final class GrantAndExecuteTest {

    private static final String PROMPT = "hydrant 12 leaks at the upper valve";

    @Test
    void prefillsThenDecodesFromTransferredCache() throws Exception {
        try (ModelEngine prefillEngine = engine("PREFILL");
                ModelEngine decodeEngine = engine("DECODE");
                SidecarFixture prefill = new SidecarFixture(InstanceRole.PREFILL, prefillEngine.address());
                SidecarFixture decode = new SidecarFixture(InstanceRole.DECODE, decodeEngine.address())) {
            SidecarFixture.await(prefill.process()::isReady);
            SidecarFixture.await(decode.process()::isReady);
            ProbeExchange decodeExchange =
                    new ProbeExchange(decode.connect()).send(EntryFrames.grantRequest(WorkKind.DECODE, 1));
            Granted decodeGrant = decodeExchange.next().getGranted();
            CacheHandle cache = prefill(prefill.connect());
            decodeExchange.send(EntryFrames.withCache(EntryFrames.decode(decodeGrant, 1, PROMPT, 30), cache));
            assertCompleteResponse(decodeExchange.untilEnd(), 30, 0);
            SidecarFixture.await(() -> freePieces(decode) == SidecarFixture.UNITS);
        }
    }

    @Test
    void resumesAfterTokensThatCallerHas() throws Exception {
        try (ModelEngine engine = engine("DECODE");
                SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            ProbeExchange exchange =
                    new ProbeExchange(fixture.connect()).send(EntryFrames.grantRequest(WorkKind.DECODE, 1));
            Granted granted = exchange.next().getGranted();
            List<String> soFar = ExpectedResponse.tokens(PROMPT, 20).subList(0, 12);
            exchange.send(
                    EntryFrames.frame(EntryFrames.decode(granted, 1, PROMPT, 20).addAllTokensSoFar(soFar)));
            assertCompleteResponse(exchange.untilEnd(), 20, 12);
        }
    }

    @Test
    void relaysPlainRequest() throws Exception {
        try (PlainService service = new PlainService(
                        SidecarFixture.ANY_PORT,
                        SidecarFixture.ANY_PORT,
                        "ledger",
                        4,
                        Optional.empty(),
                        PlainService.CrashMode.CLOSE_SERVER);
                SidecarFixture fixture = new SidecarFixture(InstanceRole.PLAIN, service.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            ProbeExchange exchange =
                    new ProbeExchange(fixture.connect()).send(EntryFrames.grantRequest(WorkKind.PLAIN, 1));
            Granted granted = exchange.next().getGranted();
            exchange.send(EntryFrames.plain(granted, 1, "GET", "/hydrants/12", ""));
            List<Frame> frames = exchange.untilEnd();
            assertThat(frames.getFirst().getAnswerHead().getStatus()).isEqualTo(200);
            assertThat(frames.get(1).getAnswerPart().getBody().toStringUtf8()).contains("\"12\"");
            assertThat(frames.getLast().getAnswerEnd().getExecution()).isEqualTo(Execution.RAN);
        }
    }

    private static int freePieces(SidecarFixture fixture) {
        return fixture.process().state().grants().load().freePieces();
    }

    private static CacheHandle prefill(PeerConnection connection) throws InterruptedException {
        ProbeExchange prefillExchange =
                new ProbeExchange(connection).send(EntryFrames.grantRequest(WorkKind.PREFILL, 1));
        Granted granted = prefillExchange.next().getGranted();
        prefillExchange.send(EntryFrames.prefill(granted, 1, PROMPT));
        return prefillExchange.untilEnd().getLast().getPrefillDone().getCache();
    }

    private static void assertCompleteResponse(List<Frame> frames, int length, int from) {
        List<String> tokens = frames.stream()
                .filter(Frame::hasAnswerPart)
                .flatMap(frame -> frame.getAnswerPart().getTokensList().stream())
                .toList();
        assertThat(tokens).isEqualTo(ExpectedResponse.tokens(PROMPT, length).subList(from, length));
        AnswerEnd end = frames.getLast().getAnswerEnd();
        assertThat(end.getCode()).isEqualTo(ResultCode.OK.number());
        assertThat(end.getLength()).isEqualTo(length);
    }

    private static ModelEngine engine(String role) {
        EngineOptions options = EngineOptions.builder()
                .role(role)
                .models(List.of(SidecarFixture.MODEL))
                .build();
        return new ModelEngine(SidecarFixture.ANY_PORT, SidecarFixture.ANY_PORT, options, Optional.empty());
    }
}
