package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StorePosition;

final class SharedWorkTest {

    private final InstancePoolFixture fixture = new InstancePoolFixture();

    /** The memory used by another entry's responses is unavailable until that entry is removed. */
    @Test
    void workOfOtherEntriesReducesCapacity() {
        fixture.register(Stage.DECODE, "a", "b");
        List<MemoryForecast.Growth> others =
                List.of(new MemoryForecast.Growth(30_000, 5_000), new MemoryForecast.Growth(30_000, 5_000));
        fixture.pool.sharedWork().updatePeer(status("peer", new EntryStatus.InstanceWork("a", 2, 0, others)));
        assertThat(fixture.pool.chooseDecode(
                        InstancePoolFixture.SERVICE,
                        PendingGeneration.of(InstancePoolFixture.LONG),
                        InstancePoolFixture.LIMITS,
                        Set.of()))
                .map(UpstreamInstance::identifier)
                .contains("b");
        fixture.pool.sharedWork().removePeer("peer");
        fixture.pool.beginGeneration("b", PendingGeneration.of(InstancePoolFixture.LONG));
        assertThat(fixture.pool.chooseDecode(
                        InstancePoolFixture.SERVICE,
                        PendingGeneration.of(InstancePoolFixture.LONG),
                        InstancePoolFixture.LIMITS,
                        Set.of()))
                .map(UpstreamInstance::identifier)
                .contains("a");
    }

    @Test
    void ownWorkNamesOnlyInstancesWithRequestsOfThisEntry() {
        fixture.pool.sharedWork().updatePeer(status("peer", new EntryStatus.InstanceWork("a", 2, 0, List.of())));
        fixture.pool.beginPrompt("b", 300);
        assertThat(fixture.pool.sharedWork().own())
                .containsExactly(new EntryStatus.InstanceWork("b", 1, 300, List.of()));
        fixture.pool.endPrompt("b", 300);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /**
     * A prompt is computed within a third of the time between two status messages of a large fleet: another entry that
     * knows only these would choose the same instance meanwhile.
     */
    @Test
    void eachChangeOfWorkIsTakenOnce() {
        List<String> calls = new ArrayList<>();
        fixture.pool.sharedWork().onChange(() -> calls.add("change"));
        fixture.pool.beginPrompt("a", 300);
        fixture.pool.beginPrompt("a", 400);
        assertThat(calls).hasSize(1);
        assertThat(fixture.pool.sharedWork().takeChanges())
                .containsExactly(new EntryStatus.InstanceWork("a", 2, 700, List.of()));
        assertThat(fixture.pool.sharedWork().takeChanges()).isEmpty();
        fixture.pool.endPrompt("a", 300);
        fixture.pool.endPrompt("a", 400);
        assertThat(calls).hasSize(2);
        assertThat(fixture.pool.sharedWork().takeChanges())
                .containsExactly(new EntryStatus.InstanceWork("a", 0, 0, List.of()));
    }

    /** What an update doesn't name is as the last status said, unlike in a status. */
    @Test
    void updateReplacesWorkAtItsInstancesAlone() {
        fixture.pool.sharedWork().updatePeer(status("peer", new EntryStatus.InstanceWork("a", 1, 300, List.of())));
        fixture.pool.sharedWork().updatePeer("peer", List.of(new EntryStatus.InstanceWork("b", 1, 400, List.of())));
        assertThat(fixture.pool.queuedPromptTokens("a")).isEqualTo(300);
        assertThat(fixture.pool.queuedPromptTokens("b")).isEqualTo(400);
        fixture.pool.sharedWork().updatePeer("peer", List.of(new EntryStatus.InstanceWork("b", 0, 0, List.of())));
        assertThat(fixture.pool.queuedPromptTokens("b")).isZero();
    }

    /** A status message is complete: what it does not name has ended. */
    @Test
    void statusReplacesFormerStatusOfSameEntry() {
        fixture.pool.sharedWork().updatePeer(status("peer", new EntryStatus.InstanceWork("a", 1, 300, List.of())));
        fixture.pool.sharedWork().updatePeer(status("peer", new EntryStatus.InstanceWork("b", 1, 400, List.of())));
        assertThat(fixture.pool.queuedPromptTokens("a")).isZero();
        assertThat(fixture.pool.queuedPromptTokens("b")).isEqualTo(400);
    }

    /** A registration may end before the requests at its instance do, and these still use its time and memory. */
    @Test
    void removedInstanceKeepsUnfinishedWork() {
        fixture.pool.beginPrompt("a", 300);
        fixture.pool.remove("a");
        assertThat(fixture.pool.queuedPromptTokens("a")).isEqualTo(300);
        fixture.pool.endPrompt("a", 300);
        fixture.pool.remove("a");
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    private static EntryStatus status(String address, EntryStatus.InstanceWork work) {
        return new EntryStatus(
                address,
                List.of(),
                StorePosition.START,
                List.of(work),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                CrashReport.EMPTY,
                EntryReport.EMPTY);
    }
}
