package org.merlinwood.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Refused;
import org.merlinwood.wire.WorkKind;

/** Streams that nothing here accounts for are ended, however often that fails. */
final class OrphanTest {

    private static final String ORPHAN = "0".repeat(31) + "1";
    private static final int SEVERAL = 3;

    @Test
    void nothingIsGrantedWhileAStreamOfAnEarlierProcessRuns() throws Exception {
        try (FakeEngine engine = new FakeEngine()) {
            engine.deleting = false;
            engine.streams.add(ORPHAN);
            try (SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
                SidecarFixture.await(() -> engine.deletes.get() >= SEVERAL);
                assertThat(fixture.process().isReady()).isFalse();
                assertThat(demand(fixture).getCode()).isEqualTo(ResultCode.NOT_READY.number());
                engine.deleting = true;
                SidecarFixture.await(fixture.process()::isReady);
                assertThat(engine.streams).isEmpty();
            }
        }
    }

    @Test
    void aStreamThatAppearsLaterIsEnded() throws Exception {
        try (FakeEngine engine = new FakeEngine();
                SidecarFixture fixture = new SidecarFixture(InstanceRole.DECODE, engine.address())) {
            SidecarFixture.await(fixture.process()::isReady);
            engine.streams.add(ORPHAN);
            SidecarFixture.await(engine.streams::isEmpty);
        }
    }

    private static Refused demand(SidecarFixture fixture) throws Exception {
        return new ProbeExchange(fixture.connect())
                .send(EntryFrames.demand(WorkKind.DECODE, 1))
                .next()
                .getRefused();
    }
}
