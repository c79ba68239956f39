package org.merlinwood.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.crash.LostRun;
import org.merlinwood.gateway.crash.Suspicion;
import org.merlinwood.gateway.decision.EntryReport;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.MemoryForecast;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.wire.Frame;

/** What an entry sends to another arrives unchanged, the era of the store and leaving instances included. */
final class PeerMessagesTest {

    private static final StorePosition POSITION = new StorePosition(4, 41);

    @Test
    void statusArrivesUnchanged() {
        EntryStatus status = new EntryStatus(
                "10.0.0.1:7",
                List.of("10.0.0.2:7"),
                POSITION,
                List.of(new EntryStatus.InstanceWork("i-1", 2, 300, List.of(new MemoryForecast.Growth(100, 50)))),
                List.of(new LostRun(77, "i-2", Suspicion.STRONG), new LostRun(78, "i-3", Suspicion.WEAK)),
                List.of(new EntryStatus.ServiceDemand("m", 900, 3)),
                List.of("i-3"),
                99,
                List.of(new EntryStatus.LeavingInstance("i-4", 1_764_832_382_000L)),
                new CrashReport(
                        List.of(new CrashReport.Crash(
                                "i-5", 1_764_832_382_000L, 200, 300, List.of(Set.of(5L, -6L), Set.of(7L)))),
                        List.of(new CrashReport.BegunPart(8, 4_000_000_000L)),
                        List.of(new CrashReport.Block(Set.of(9L, 10L), 60_000, 2))),
                new EntryReport(
                        11,
                        12,
                        new EntryReport.AllotmentReport(
                                3, true, List.of(new EntryReport.AllotmentUse("workspace", 4, -13, 14))),
                        List.of(new EntryReport.InstanceLoad("i-6", 15, 16, 17, 18, 19)),
                        List.of(new EntryReport.WaitingRequests("m", 20, 21, 22))));
        assertThat(PeerMessages.status(PeerMessages.status(status).build().getEntryStatus()))
                .isEqualTo(status);
    }

    @Test
    void requestForChangesNamesEraAndRevision() {
        Frame frame = PeerMessages.changesRequest(POSITION).build();
        assertThat(PeerMessages.after(frame.getStoreChangesRequest())).isEqualTo(POSITION);
    }

    @Test
    void changesArriveWithTheirPositions() {
        StoreChange removed = new StoreChange("servers/i-1", new StorePosition(3, 50), Optional.empty());
        StoreChange written =
                new StoreChange("servers/i-2", POSITION, Optional.of("{}".getBytes(StandardCharsets.UTF_8)));
        Frame frame = PeerMessages.changes(List.of(removed, written), POSITION).build();
        assertThat(PeerMessages.position(frame.getStoreChanges())).isEqualTo(POSITION);
        List<StoreChange> arrived = PeerMessages.changes(frame.getStoreChanges());
        assertThat(arrived.getFirst()).isEqualTo(removed);
        assertThat(arrived.getLast().position()).isEqualTo(POSITION);
        assertThat(arrived.getLast().value().orElseThrow())
                .isEqualTo(written.value().orElseThrow());
    }

    @Test
    void workUpdateIsReadAsItWasWritten() {
        List<EntryStatus.InstanceWork> work = List.of(
                new EntryStatus.InstanceWork("i-1", 2, 300, List.of(new MemoryForecast.Growth(100, 50))),
                new EntryStatus.InstanceWork("i-2", 0, 0, List.of()));
        assertThat(PeerMessages.work(PeerMessages.workUpdate("10.0.0.1:7", work).getWorkUpdate()))
                .isEqualTo(work);
    }
}
