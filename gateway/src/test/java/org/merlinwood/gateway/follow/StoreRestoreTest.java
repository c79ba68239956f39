package org.merlinwood.gateway.follow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.FakeHttpClient;
import org.merlinwood.gateway.ManualLoop;

/** The store returns from a backup that is some seconds old: revisions go back and are given out again. */
final class StoreRestoreTest {

    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final ManualLoop loop = new ManualLoop(clock);
    private final FakeHttpClient client = new FakeHttpClient();
    private final RecordingStoreListener listener = new RecordingStoreListener();
    private final Map<String, String> values = listener.values;
    private final StoreFollower follower =
            new StoreFollower(new PlainTextStoreProtocol(), client, loop, clock, listener);

    @BeforeEach
    void readUpToRevision50() {
        follower.start();
        respond("done 3:40 configuration=v7@3:20 a=ready@3:30 b=ready@3:31 c=ready@3:32");
        respond("done 3:50 a=leaving@3:44 b=-@3:45 d=ready@3:46");
        loop.advance(StoreFollower.WATCH_PAUSE_MILLIS);
        assertThat(client.last().request().path()).isEqualTo("/watch/50");
    }

    /** The watch's revision is given out again, so the store may answer it without a 410. */
    @ParameterizedTest
    @CsvSource({"gone", "done 4:60 e=ready@4:55"})
    void watchOfAFormerHistoryLeadsToACompleteListing(String watchResponse) {
        respond(watchResponse);
        assertThat(client.last().request().path()).isEqualTo("/list/");
        respond("done 4:60 configuration=v7@4:20 c=ready@4:32 e=ready@4:55");
        assertThat(values).containsEntry("e", "ready");
        assertThat(follower.position()).isLessThan(new StorePosition(4, 61));
        assertThat(client.last().request().path()).isEqualTo("/watch/60");
        assertThat(listener.restores).containsExactly("3 to 4");
    }

    @Test
    void changesOfTheNewEraAreAppliedAlthoughTheirRevisionsAreLower() {
        restoreAt41();
        respond("done 4:42 c=slow@4:42");
        assertThat(values).containsEntry("c", "slow");
    }

    @Test
    void backupNeitherRevivesNorRemovesInstancesUntilTheyHaveWrittenAgain() {
        restoreAt41();
        assertThat(values).containsEntry("a", "leaving").doesNotContainKey("b").containsEntry("d", "ready");
        respond("done 4:44 a=leaving@4:42 d=ready@4:43 b=-@4:44");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS);
        assertThat(values).containsEntry("a", "leaving").doesNotContainKey("b").containsEntry("d", "ready");
        assertThat(follower.position()).isEqualTo(new StorePosition(4, 44));
    }

    @Test
    void whatTheStoreSaysHoldsAfterTheTimeForWritingAgain() {
        restoreAt41();
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS - 1);
        assertThat(values).containsEntry("a", "leaving").containsEntry("d", "ready");
        loop.advance(1);
        assertThat(values)
                .containsEntry("a", "ready")
                .containsEntry("b", "ready")
                .doesNotContainKey("d");
    }

    @Test
    void twoRestoresWithinTheDelayEndInTheLastEra() {
        restoreAt41();
        respond("done 5:41");
        respond("done 5:41 configuration=v7@5:20 a=ready@5:30 c=ready@5:32");
        respond("done 5:43 a=leaving@5:42 d=ready@5:43");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS);
        assertThat(values).containsEntry("a", "leaving").containsEntry("d", "ready");
        assertThat(follower.position()).isEqualTo(new StorePosition(5, 43));
        assertThat(listener.restores).containsExactly("3 to 4", "4 to 5");
    }

    @Test
    void lateResponseOfAFormerEraIsDropped() {
        restoreAt41();
        respond("done 3:90 c=old@3:90");
        assertThat(values).containsEntry("c", "ready");
        assertThat(follower.position().era()).isEqualTo(4);
    }

    @Test
    void listingThatARestoreInterruptsBeginsAnew() {
        respond("gone");
        respond("more 3:55 c=ready@3:32");
        respond("done 4:41 d=ready@4:40");
        assertThat(client.last().request().path()).isEqualTo("/list/");
    }

    @Test
    void peerThatHasNotSeenTheRestoreIsNeitherAheadNorHeard() {
        restoreAt41();
        loop.advance(StoreFollower.RELAY_DELAY_MILLIS + 1);
        assertThat(follower.isBehind(new StorePosition(3, 90))).isFalse();
        follower.applyRelayed(List.of(PlainTextStoreProtocol.change("c=old@3:90")), new StorePosition(3, 90));
        assertThat(values).containsEntry("c", "ready");
    }

    /** An entry that the store turns away learns of the restore from a peer, with all keys of the new era. */
    @Test
    void restoreIsLearnedFromAPeer() {
        loop.advance(StoreFollower.RELAY_DELAY_MILLIS + 1);
        assertThat(follower.isBehind(new StorePosition(4, 41))).isTrue();
        follower.applyRelayed(
                List.of(
                        PlainTextStoreProtocol.change("configuration=v7@4:20"),
                        PlainTextStoreProtocol.change("a=ready@4:30"),
                        PlainTextStoreProtocol.change("c=slow@4:41")),
                new StorePosition(4, 41));
        assertThat(values)
                .containsEntry("a", "leaving")
                .containsEntry("c", "slow")
                .containsEntry("d", "ready");
        loop.advance(StoreFollower.REMOVAL_DELAY_MILLIS);
        assertThat(values).doesNotContainKey("d");
        assertThat(follower.position()).isEqualTo(new StorePosition(4, 41));
    }

    @Test
    void entryThatStartsAfterARestoreTakesWhatTheStoreSays() {
        StoreFollower fresh = new StoreFollower(new PlainTextStoreProtocol(), client, loop, clock, listener);
        values.clear();
        fresh.start();
        respond("done 9:41 a=ready@9:30");
        assertThat(values).containsOnlyKeys("a");
        assertThat(listener.restores).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"3, 50, 4, 41", "3, 70000, 4, 60000", "0, 5, 1, 1"})
    void fencingTermRisesOverARestore(long era, long revision, long nextEra, long nextRevision) {
        assertThat(new StorePosition(nextEra, nextRevision).fencingTerm())
                .isGreaterThan(new StorePosition(era, revision).fencingTerm());
    }

    /** Restores the store as it was at revision 41: a is ready, b is there, d is not. */
    private void restoreAt41() {
        respond("gone");
        respond("done 4:41 configuration=v7@4:20 a=ready@4:30 b=ready@4:31 c=ready@4:32");
        assertThat(client.last().request().path()).isEqualTo("/watch/41");
    }

    private void respond(String body) {
        client.last().respond(200, body);
        loop.run();
    }
}
