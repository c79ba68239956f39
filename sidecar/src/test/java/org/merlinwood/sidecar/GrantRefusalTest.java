package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.UncheckedIOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Execution;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.Refused;
import org.merlinwood.wire.RevisionPair;
import org.merlinwood.wire.WorkKind;

/** Requests that are refused as not run, checked against the run ledger of the engine. */
final class GrantRefusalTest {

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
    void grantOfAnotherIncarnationIsRefused() throws Exception {
        ProbeExchange exchange = requestGrant(1);
        Granted granted = exchange.next().getGranted();
        Granted otherIncarnation =
                granted.toBuilder().setIncarnation(granted.getIncarnation() + 1).build();
        assertNotRun(execute(exchange, otherIncarnation, 1), ResultCode.INCARNATION_MISMATCH);
    }

    @Test
    void unknownGrantNumberIsRefused() throws Exception {
        ProbeExchange exchange = requestGrant(1);
        Granted granted = exchange.next().getGranted();
        Granted unknown = granted.toBuilder().setGrant(granted.getGrant() + 99).build();
        exchange.send(EntryFrames.frame(EntryFrames.decode(unknown, 1, DecodeFixture.PROMPT, 5)));
        exchange.send(EntryFrames.cancel(1));
        assertThat(exchange.untilEnd().getLast().getRefused().getExecution()).isEqualTo(Execution.NOT_RUN);
    }

    @Test
    void grantIsInvalidOnAnotherExchange() throws Exception {
        Granted granted = requestGrant(1).next().getGranted();
        ProbeExchange other = new ProbeExchange(fixture.connection);
        assertNotRun(execute(other, granted, 1), ResultCode.GRANT_UNKNOWN);
    }

    @Test
    void unusedGrantExpires() throws Exception {
        ProbeExchange exchange = requestGrant(1);
        Granted granted = exchange.next().getGranted();
        assertThat(exchange.untilEnd().getLast().getRefused().getCode()).isEqualTo(ResultCode.GRANT_EXPIRED.number());
        assertNotRun(execute(exchange, granted, 1), ResultCode.GRANT_EXPIRED);
        fixture.awaitAllUnitsFree();
    }

    @Test
    void requestWithNewerRevisionIsRefusedUntilCaughtUp() throws Exception {
        RevisionPair newer =
                RevisionPair.newBuilder().setInventory(99).setRules(99).build();
        ProbeExchange exchange = new ProbeExchange(fixture.connection)
                .send(Frame.newBuilder()
                        .setGrantRequest(EntryFrames.grantRequestBuilder(WorkKind.DECODE, 1)
                                .setRevisions(newer)));
        assertThat(exchange.next().getRefused().getCode()).isEqualTo(ResultCode.REVISION_BEHIND.number());
    }

    @Test
    void requestForAnotherRoleIsRefused() throws Exception {
        ProbeExchange exchange =
                new ProbeExchange(fixture.connection).send(EntryFrames.grantRequest(WorkKind.PREFILL, 1));
        assertThat(exchange.next().getRefused().getCode()).isEqualTo(ResultCode.NO_INSTANCE.number());
    }

    @Test
    void drainingInstanceFinishesRunningWorkAndRefusesNewRequests() throws Exception {
        ProbeExchange running = fixture.start(1, 60);
        fixture.sidecar.publishInventory(InstanceState.DRAINING);
        SidecarFixture.await(
                () -> fixture.sidecar.process().state().grants().load().draining());
        Refused refused = requestGrant(2).next().getRefused();
        assertThat(refused.getCode()).isEqualTo(ResultCode.DRAINING.number());
        assertThat(refused.getRetryAfterMillis()).isPositive();
        assertThat(running.untilEnd().getLast().getAnswerEnd().getExecution()).isEqualTo(Execution.RAN);
        fixture.sidecar.publishInventory(InstanceState.ACTIVE);
        SidecarFixture.await(
                () -> !fixture.sidecar.process().state().grants().load().draining());
        assertThat(requestGrant(3).next().hasGranted()).isTrue();
    }

    @Test
    void drainWaitsForRunningWork() throws Exception {
        ProbeExchange running = fixture.start(1, 60);
        assertThat(fixture.sidecar.process().drain()).isTrue();
        fixture.sidecar.process().close();
        assertThat(running.untilEnd().getLast().getAnswerEnd().getExecution()).isEqualTo(Execution.RAN);
    }

    @Test
    void drainedProcessStillRespondsToPeers() throws Exception {
        fixture.sidecar.process().drain();
        assertThat(requestGrant(2).next().getRefused().getCode()).isEqualTo(ResultCode.DRAINING.number());
    }

    @Test
    void secondSidecarOnSameGuardPortFailsToStart() {
        assertThatThrownBy(() -> new SidecarProcess(fixture.sidecar.settings, () -> {}))
                .isInstanceOf(UncheckedIOException.class);
    }

    private ProbeExchange requestGrant(long request) {
        return new ProbeExchange(fixture.connection).send(EntryFrames.grantRequest(WorkKind.DECODE, request));
    }

    private Refused execute(ProbeExchange exchange, Granted granted, long request) throws InterruptedException {
        exchange.send(EntryFrames.frame(EntryFrames.decode(granted, request, DecodeFixture.PROMPT, 5)));
        return exchange.untilEnd().getLast().getRefused();
    }

    private void assertNotRun(Refused refused, ResultCode code) {
        assertThat(refused.getCode()).isEqualTo(code.number());
        assertThat(refused.getExecution()).isEqualTo(Execution.NOT_RUN);
        assertThat(fixture.engine.ledger().runs()).isEmpty();
    }
}
