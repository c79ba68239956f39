package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.WorkKind;

/**
 * The time between the last line of an engine's response, with which the caller has its whole response, and the end of
 * the response, with which the memory is free.
 */
final class ResponseEndMemoryTest {

    private static final String PROMPT = "hydrant 12 leaks at the upper valve";

    /** Number of tokens for which a request needs all units. */
    private static final int TOKENS_OF_ALL_UNITS = SidecarFixture.UNITS * 2_000;

    private final FakeEngine engine = new FakeEngine();
    private SidecarFixture fixture;
    private PeerConnection connection;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture(InstanceRole.DECODE, engine.address());
        SidecarFixture.await(fixture.process()::isReady);
        connection = fixture.connect();
    }

    @AfterEach
    void close() {
        fixture.close();
        engine.close();
    }

    /** Guards against a caller that waits for its last tokens until the engine has freed their memory. */
    @Test
    void responseIsCompleteBeforeTheEngineHasEndedIt() throws Exception {
        assertThat(run(1).getCode()).isEqualTo(ResultCode.OK.number());
        assertThat(fixture.process().state().grants().load().freePieces()).isZero();
    }

    /** Guards against a next request that is refused for memory which is about to be free, or gets it too early. */
    @Test
    void nextRequestWaitsForTheMemoryOfACompleteResponse() throws Exception {
        run(1);
        ProbeExchange next = new ProbeExchange(connection).send(requestOfAllUnits(2));
        assertThat(next.next().hasQueued()).isTrue();
        engine.endOfResponseAllowed.countDown();
        assertThat(next.next().hasGranted()).isTrue();
    }

    private AnswerEnd run(long request) throws InterruptedException {
        ProbeExchange exchange = new ProbeExchange(connection).send(requestOfAllUnits(request));
        Granted granted = exchange.next().getGranted();
        exchange.send(EntryFrames.frame(EntryFrames.decode(granted, request, PROMPT, 1)));
        return exchange.untilEnd().getLast().getAnswerEnd();
    }

    private static Frame.Builder requestOfAllUnits(long request) {
        return Frame.newBuilder()
                .setGrantRequest(EntryFrames.grantRequestBuilder(WorkKind.DECODE, request)
                        .setPromptTokens(0)
                        .setMaximumTokens(TOKENS_OF_ALL_UNITS));
    }
}
