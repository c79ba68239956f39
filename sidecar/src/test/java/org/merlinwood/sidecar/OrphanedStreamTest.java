package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Refused;
import org.merlinwood.wire.WorkKind;

/** Streams that the sidecar does not track are deleted; failed deletions are retried. */
final class OrphanedStreamTest {

    private static final String ORPHAN = "0".repeat(31) + "1";
    private static final int MINIMUM_DELETES = 3;

    @Test
    void noGrantWhileStreamOfEarlierProcessRuns() throws Exception {
        try (FakeEngine engine = new FakeEngine()) {
            engine.confirmsDeletes = false;
            engine.streams.add(ORPHAN);
            try (SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
                SidecarFixture.await(() -> engine.deletes.get() >= MINIMUM_DELETES);
                assertThat(fixture.process().isReady()).isFalse();
                assertThat(requestGrant(fixture).getCode()).isEqualTo(ResultCode.NOT_READY.number());
                engine.confirmsDeletes = true;
                SidecarFixture.await(fixture.process()::isReady);
                assertThat(engine.streams).isEmpty();
            }
        }
    }

    @Test
    void orphanedStreamIsDeletedAfterStart() throws Exception {
        try (FakeEngine engine = new FakeEngine();
                SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            engine.streams.add(ORPHAN);
            SidecarFixture.await(engine.streams::isEmpty);
        }
    }

    private static Refused requestGrant(SidecarFixture fixture) throws Exception {
        return new ProbeExchange(fixture.connect())
                .send(EntryFrames.grantRequest(WorkKind.DECODE, 1))
                .next()
                .getRefused();
    }
}
