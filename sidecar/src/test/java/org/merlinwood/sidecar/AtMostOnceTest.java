package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.idempotency.MintedKeys;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.standin.plain.PlainService;
import org.merlinwood.wire.Execution;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.Refused;
import org.merlinwood.wire.WorkKind;

/** Non-idempotent requests run at most once, checked against the run ledger of the plain service. */
final class AtMostOnceTest {

    private static final ByteString FINGERPRINT = ByteString.copyFromUtf8("booking of hydrant 12");
    private static final SharedKey SECRET = new SharedKey(1, "11".repeat(32));

    private PlainService service;
    private SidecarFixture sidecar;
    private int mintedKeys;

    @BeforeEach
    void open() throws Exception {
        service = new PlainService(
                SidecarFixture.ANY_PORT,
                SidecarFixture.ANY_PORT,
                "ledger",
                4,
                Optional.empty(),
                PlainService.CrashMode.CLOSE_SERVER);
        sidecar = new SidecarFixture(InstanceRole.PLAIN, service.address());
        SidecarFixture.await(sidecar.process()::isReady);
    }

    @AfterEach
    void close() {
        sidecar.close();
        service.close();
    }

    @Test
    void resendReceivesStoredResponseWithoutRunning() throws Exception {
        String key = mint();
        List<Frame> first = postBooking(1, key, "");
        List<Frame> second = postBooking(2, key, "");
        assertThat(first.getFirst().getAnswerHead().getReplayed()).isFalse();
        assertThat(second.getFirst().getAnswerHead().getReplayed()).isTrue();
        assertThat(second.get(1).getAnswerPart().getBody())
                .isEqualTo(first.get(1).getAnswerPart().getBody());
        assertThat(service.ledger().runs()).hasSize(1);
    }

    @Test
    void resendJoinsRunningRequest() throws Exception {
        String key = mint();
        PeerConnection connection = sidecar.connect();
        ProbeExchange first = execute(connection, 1, key, "[millis 400]");
        SidecarFixture.await(() -> !service.ledger().runs().isEmpty());
        ProbeExchange second = execute(connection, 2, key, "[millis 400]");
        assertThat(first.untilEnd().getLast().getAnswerEnd().getExecution()).isEqualTo(Execution.RAN);
        assertThat(second.untilEnd().getFirst().getAnswerHead().getReplayed()).isTrue();
        assertThat(service.ledger().runs()).hasSize(1);
    }

    @Test
    void requestOfLostConnectionCompletesAndIsReplayed() throws Exception {
        String key = mint();
        PeerConnection lost = sidecar.connect();
        execute(lost, 1, key, "[millis 300]");
        SidecarFixture.await(() -> !service.ledger().runs().isEmpty());
        lost.close(ResultCode.CONNECTION_LOST);
        SidecarFixture.await(() -> !lost.isOpen());
        List<Frame> frames = postBooking(2, key, "[millis 300]");
        assertThat(frames.getLast().getAnswerEnd().getExecution()).isEqualTo(Execution.RAN);
        assertThat(service.ledger().runs()).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"[fault TRUNCATE]", "[fault GARBAGE]", "[fault CRASH_AFTER_RUN]"})
    void requestWithUnknownOutcomeIsNeverRetried(String fault) throws Exception {
        String key = mint();
        Frame end = postBooking(1, key, fault).getLast();
        assertThat(end.getAnswerEnd().getCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(end.getAnswerEnd().getExecution()).isEqualTo(Execution.UNKNOWN);
        SidecarFixture.await(() -> refusal(key).getCode() == ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(service.ledger().runs()).hasSize(1);
    }

    @Test
    void sameKeyWithDifferentBodyIsRefused() throws Exception {
        String key = mint();
        postBooking(1, key, "");
        GrantRequest.Builder other = request(2, key).setFingerprint(ByteString.copyFromUtf8("other"));
        assertThat(refusal(other).getCode()).isEqualTo(ResultCode.KEY_REUSED.number());
    }

    @Test
    void requestThatNeverReachedUpstreamMayBeRetried() throws Exception {
        String key = mint();
        service.close();
        ProbeExchange exchange = execute(sidecar.connect(), 1, key, "");
        Refused refused = exchange.untilEnd().getLast().getRefused();
        assertThat(refused.getExecution()).isEqualTo(Execution.NOT_RUN);
        assertThat(sidecar.process().state().keys().entries()).isZero();
    }

    @ParameterizedTest
    @EnumSource(
            value = InstanceState.class,
            names = {"DRAINING", "RETIRED"})
    void inactiveInstanceDoesNotReportCompletedRequestAsNotRun(InstanceState state) throws Exception {
        String ran = mint();
        String unused = mint();
        postBooking(1, ran, "");
        sidecar.publishInventory(state);
        SidecarFixture.await(() -> sidecar.process().state().inventoryRevision() == 2);
        assertThat(refusal(ran).getExecution()).isNotEqualTo(Execution.NOT_RUN);
        assertThat(refusal(unused).getExecution()).isEqualTo(Execution.NOT_RUN);
    }

    @Test
    void nonIdempotentRequestWithoutKeyIsRefused() throws Exception {
        assertThat(refusal(request(1, "").setNonIdempotent(true)).getCode())
                .isEqualTo(ResultCode.KEY_REQUIRED.number());
    }

    @ParameterizedTest
    @CsvSource({"POST,/bookings", "POST,/hydrants/1", "DELETE,/unlisted"})
    void rulesOfSidecarDecideWhichRequestsNeedKey(String method, String path) throws Exception {
        ProbeExchange exchange = new ProbeExchange(sidecar.connect()).send(EntryFrames.grantRequest(WorkKind.PLAIN, 1));
        Granted granted = exchange.next().getGranted();
        exchange.send(EntryFrames.plain(granted, 1, method, path, ""));
        Refused refused = exchange.untilEnd().getLast().getRefused();
        assertThat(refused.getCode()).isIn(ResultCode.KEY_REQUIRED.number(), ResultCode.REVISION_BEHIND.number());
        assertThat(service.ledger().runs()).isEmpty();
    }

    @Test
    void callerChosenKeyIsWithheldAfterStart() throws Exception {
        SidecarFixture.await(() -> refusal("booking-1").getCode() == ResultCode.KEY_WITHHELD_AFTER_RESTART.number());
        assertThat(service.ledger().runs()).isEmpty();
    }

    @Test
    void mintedKeyOfEarlierProcessHasUnknownOutcome() throws Exception {
        String key = mint();
        postBooking(1, key, "");
        sidecar.restart();
        SidecarFixture.await(sidecar.process()::isReady);
        SidecarFixture.await(() -> refusal(key).getCode() == ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(service.ledger().runs()).hasSize(1);
    }

    @Test
    void keyOfAnotherCallerIsNotAuthentic() throws Exception {
        GrantRequest.Builder otherCaller = request(1, mint()).setCaller("station-9");
        assertThat(refusal(otherCaller).getCode()).isEqualTo(ResultCode.KEY_NOT_AUTHENTIC.number());
    }

    private List<Frame> postBooking(long request, String key, String body) throws Exception {
        return execute(sidecar.connect(), request, key, body).untilEnd();
    }

    private static ProbeExchange execute(PeerConnection connection, long request, String key, String body)
            throws InterruptedException {
        ProbeExchange exchange =
                new ProbeExchange(connection).send(Frame.newBuilder().setGrantRequest(request(request, key)));
        Granted granted = exchange.next().getGranted();
        return exchange.send(EntryFrames.plain(granted, request, "POST", "/bookings", body));
    }

    private Refused refusal(String key) {
        return refusal(request(77, key));
    }

    private Refused refusal(GrantRequest.Builder request) {
        try {
            return new ProbeExchange(sidecar.connect())
                    .send(Frame.newBuilder().setGrantRequest(request))
                    .next()
                    .getRefused();
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static GrantRequest.Builder request(long request, String key) {
        return EntryFrames.grantRequestBuilder(WorkKind.PLAIN, request)
                .setNonIdempotent(true)
                .setCaller(SidecarFixture.CALLER.value())
                .setFingerprint(FINGERPRINT)
                .setIdempotencyKey(key);
    }

    private String mint() throws Exception {
        Incarnation incarnation = sidecar.connect().peer().incarnation();
        return MintedKeys.mint(
                        new ServiceName("service"),
                        sidecar.settings.process().instance(),
                        incarnation,
                        SidecarFixture.CALLER,
                        System.currentTimeMillis(),
                        ++mintedKeys,
                        SECRET)
                .value();
    }
}
