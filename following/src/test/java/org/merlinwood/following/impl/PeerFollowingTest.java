package org.merlinwood.following.impl;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.Revisions;

/**
 * Tests a fleet of 32 followers in two failure domains, in virtual time, under failures of service, peers and links.
 */
class PeerFollowingTest {

    private static final int SIZE = 32;
    private static final long SETTLING_MILLIS = 20_000;
    private static final long PROPAGATION_LIMIT_MILLIS = 4_000;
    private static final long IMMEDIATE_LIMIT_MILLIS = 300;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final List<NetworkAddress> SEEDS =
            List.of(NetworkAddress.parse(TestDocuments.address(0)), NetworkAddress.parse(TestDocuments.address(9)));

    private FakeFleet fleet;

    @BeforeEach
    void start() {
        fleet = new FakeFleet(SIZE, SEEDS);
        publish(5);
        fleet.service.publish("rules", 2, TestDocuments.RULES);
        fleet.timer.run(SETTLING_MILLIS);
        assertThat(fleet.allAt(new Revisions(5, 2))).isTrue();
    }

    @Test
    void twoProcessesPerDomainReadTheService() {
        assertThat(fleet.readers()).hasSize(2 * ReaderPlan.READERS_PER_DOMAIN);
        assertThat(fleet.readers().stream().map(TestDocuments::domain).distinct())
                .hasSize(2);
    }

    @Test
    void fetchRateIsBoundedByReadersAndWatchTime() {
        int fetchesBefore = fleet.service.fetchCount();
        fleet.timer.run(60_000);

        int documents = 2;
        int shortestWatchMillis = 2_500;
        int readers = 2 * ReaderPlan.READERS_PER_DOMAIN;
        assertThat(fleet.service.fetchCount() - fetchesBefore)
                .isLessThanOrEqualTo(readers * documents * 60_000 / shortestWatchMillis);
    }

    @Test
    void changeReachesSubscribersAsDelta() {
        long wholeUpdatesBefore = updates("whole");
        publish(6);

        assertThat(fleet.millisUntilAllAt(new Revisions(6, 2), PROPAGATION_LIMIT_MILLIS))
                .isNotNegative();
        assertThat(updates("whole")).isEqualTo(wholeUpdatesBefore);
        assertThat(updates("delta")).isGreaterThanOrEqualTo(SIZE - 2L * ReaderPlan.READERS_PER_DOMAIN);
    }

    @Test
    void allProcessesAcceptHigherRevisionWhenRevisionsAreSkipped() {
        publish(9);

        assertThat(fleet.millisUntilAllAt(new Revisions(9, 2), PROPAGATION_LIMIT_MILLIS))
                .isNotNegative();
    }

    @ParameterizedTest
    @CsvSource({"6, 7", "7, 6"})
    void concurrentPublicationsEndOnHigherRevision(long first, long second) {
        publish(first);
        fleet.timer.run(1);
        publish(second);

        assertThat(fleet.millisUntilAllAt(new Revisions(7, 2), PROPAGATION_LIMIT_MILLIS))
                .isNotNegative();
        fleet.timer.run(SETTLING_MILLIS);
        assertThat(fleet.allAt(new Revisions(7, 2))).isTrue();
    }

    @Test
    void invalidRevisionIsNotDistributed() {
        fleet.service.publish("inventory", 6, TestDocuments.invalidInventory());
        fleet.timer.run(SETTLING_MILLIS);

        assertThat(fleet.allAt(new Revisions(5, 2))).isTrue();
        assertThat(fleet.followers
                        .get(fleet.readers().get(0))
                        .state()
                        .inventory()
                        .rejectedRevision())
                .isEqualTo(6);
    }

    @Test
    void otherProcessesReplaceSilentReaders() {
        List<Integer> silent = fleet.readers();
        fleet.cut((from, to) -> silent.contains(from));
        fleet.timer.run(SETTLING_MILLIS);
        publish(6);
        fleet.timer.run(PROPAGATION_LIMIT_MILLIS);

        for (int index = 0; index < SIZE; index++) {
            assertThat(fleet.followers.get(index).revisions().inventory())
                    .as("process %d", index)
                    .isEqualTo(6);
        }
        assertThat(fleet.readers()).hasSizeBetween(silent.size() + 1, silent.size() + 8);
    }

    @Test
    void subscriberSkipsReadersThatNeverRespond() {
        ConfigurationService unreachable = (document, after, wait) ->
                CompletableFuture.completedFuture(new ConfigurationResponse.Unavailable("cut"));
        List<Integer> unresponsive = fleet.readers().stream()
                .filter(index -> TestDocuments.domain(index).equals(TestDocuments.domain(20)))
                .toList();
        assertThat(unresponsive).doesNotContain(20);
        fleet.unresponsive(unresponsive::contains);
        FollowerCore other = fleet.add(20, unreachable, SEEDS);
        fleet.timer.run(SETTLING_MILLIS);

        for (long revision = 6; revision < 12; revision++) {
            publish(revision);
            fleet.timer.run(IMMEDIATE_LIMIT_MILLIS);
            assertThat(other.revisions().inventory()).isEqualTo(revision);
        }
    }

    @Test
    void subscriberWithoutUpdatesCatchesUpByComparingWithAnotherReader() {
        List<Integer> readers = fleet.readers();
        FollowerCore other = fleet.add(20, fleet.service, SEEDS);
        fleet.timer.run(SETTLING_MILLIS);
        fleet.loseUpdatesTo(20);
        publish(6);
        fleet.timer.run(SETTLING_MILLIS + SETTLING_MILLIS);

        assertThat(readers).doesNotContain(20);
        assertThat(other.revisions().inventory()).isEqualTo(6);
    }

    @Test
    void processesStayReadyDuringLongServiceOutage() {
        fleet.service.fail(new ConfigurationResponse.Unavailable("down"));
        fleet.timer.run(HOUR_MILLIS);

        assertThat(fleet.followers).allMatch(FollowerCore::isReady);
        fleet.service.recover();
        publish(6);
        assertThat(fleet.millisUntilAllAt(new Revisions(6, 2), SETTLING_MILLIS)).isNotNegative();
    }

    @Test
    void restartedProcessFetchesRevisionsFromSeedsDuringServiceOutage() {
        fleet.service.fail(new ConfigurationResponse.Unavailable("down"));
        FollowerCore restarted = fleet.add(20, fleet.service, SEEDS);
        assertThat(restarted.isReady()).isFalse();
        fleet.timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(restarted.isReady()).isTrue();
        assertThat(restarted.revisions()).isEqualTo(new Revisions(5, 2));
    }

    @Test
    void processWithoutServiceAndPeersIsNotReady() {
        fleet.service.fail(new ConfigurationResponse.Unavailable("down"));
        fleet.cut((from, to) -> from == 20);
        FollowerCore restarted = fleet.add(20, fleet.service, SEEDS);
        fleet.timer.run(SETTLING_MILLIS);

        assertThat(restarted.isReady()).isFalse();
    }

    @Test
    void restartedProcessIsNotReadyWithRevisionOfStaleReplica() {
        publish(6);
        fleet.timer.run(PROPAGATION_LIMIT_MILLIS);
        FollowerCore restarted = fleet.add(20, staleReplica(), SEEDS);
        boolean wasReadyWithOldRevision = fleet.timer.runUntil(
                () -> restarted.isReady() && restarted.revisions().inventory() < 6,
                fleet.clock.monotonicMillis() + PROPAGATION_LIMIT_MILLIS);

        assertThat(wasReadyWithOldRevision).isFalse();
        assertThat(restarted.revisions().inventory()).isEqualTo(6);
    }

    @Test
    void restartedProcessQueriesNextSeedWhenFirstHasNoDocuments() {
        publish(6);
        fleet.timer.run(PROPAGATION_LIMIT_MILLIS);
        ConfigurationService unreachable = (document, after, wait) ->
                CompletableFuture.completedFuture(new ConfigurationResponse.Unavailable("cut"));
        fleet.cut((from, to) -> from == 0 && to != 20);
        fleet.add(0, unreachable, List.of());
        FollowerCore restarted = fleet.add(20, staleReplica(), SEEDS);
        boolean wasReadyWithOldRevision = fleet.timer.runUntil(
                () -> restarted.isReady() && restarted.revisions().inventory() < 6,
                fleet.clock.monotonicMillis() + PROPAGATION_LIMIT_MILLIS);

        assertThat(wasReadyWithOldRevision).isFalse();
        assertThat(restarted.isReady()).isTrue();
    }

    @Test
    void onlyOneSeedSendsWholeDocumentTexts() {
        FollowerCore restarted = fleet.add(20, new FakeService(fleet.clock, fleet.timer), SEEDS);
        fleet.timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(restarted.isReady()).isTrue();
        assertThat(fleet.metrics.get(20).counter("following.updates.whole").getCount())
                .isEqualTo(2);
    }

    @Test
    void readersWithStaleReplicaCatchUpFromReadersOfOtherDomain() {
        fleet.readers().stream()
                .filter(index -> TestDocuments.domain(index).equals("a"))
                .toList()
                .forEach(index -> fleet.add(index, staleReplica(), SEEDS));
        fleet.timer.run(SETTLING_MILLIS);
        publish(6);

        assertThat(fleet.millisUntilAllAt(new Revisions(6, 2), 2 * PROPAGATION_LIMIT_MILLIS))
                .isNotNegative();
    }

    @Test
    void readersWithFailingServiceReceiveChangesFromOtherDomainImmediately() {
        ConfigurationService unreachable = (document, after, wait) ->
                CompletableFuture.completedFuture(new ConfigurationResponse.Unavailable("cut"));
        fleet.readers().stream()
                .filter(index -> TestDocuments.domain(index).equals("a"))
                .toList()
                .forEach(index -> fleet.add(index, unreachable, SEEDS));
        fleet.timer.run(SETTLING_MILLIS);

        for (long revision = 6; revision < 16; revision++) {
            publish(revision);
            assertThat(fleet.millisUntilAllAt(new Revisions(revision, 2), IMMEDIATE_LIMIT_MILLIS))
                    .as("revision %d", revision)
                    .isNotNegative();
        }
    }

    @Test
    void processWithDifferentBaseTextFetchesWholeText() {
        FakeService conflicting = new FakeService(fleet.clock, fleet.timer);
        conflicting.publish("inventory", 5, "// another text\n" + TestDocuments.inventory(SIZE, 5));
        conflicting.publish("rules", 2, TestDocuments.RULES);
        FollowerCore other = fleet.add(20, conflicting, List.of());
        fleet.timer.run(SETTLING_MILLIS);
        String oneRowChanged =
                TestDocuments.inventory(SIZE, 5).replaceFirst("\"concurrency\": 5", "\"concurrency\": 6");
        fleet.service.publish("inventory", 6, oneRowChanged);
        fleet.timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(other.revisions().inventory()).isEqualTo(6);
        assertThat(other.state().inventory().digest())
                .isEqualTo(fleet.followers.get(21).state().inventory().digest());
    }

    @Test
    void partitionedDomainReadsServiceAndCatchesUp() {
        fleet.cut((from, to) -> TestDocuments.domain(from).equals("a")
                && TestDocuments.domain(to).equals("b"));
        fleet.timer.run(SETTLING_MILLIS);
        publish(6);

        assertThat(fleet.millisUntilAllAt(new Revisions(6, 2), PROPAGATION_LIMIT_MILLIS))
                .isNotNegative();
    }

    @Test
    void isolatedProcessCatchesUpAfterPartitionHeals() {
        ConfigurationService unreachable = (document, after, wait) ->
                CompletableFuture.completedFuture(new ConfigurationResponse.Unavailable("cut"));
        FollowerCore isolated = fleet.add(20, unreachable, SEEDS);
        fleet.timer.run(SETTLING_MILLIS);
        fleet.cut((from, to) -> from == 20);
        fleet.timer.run(SETTLING_MILLIS);
        publish(6);
        fleet.timer.run(SETTLING_MILLIS);
        assertThat(isolated.revisions().inventory()).isEqualTo(5);

        fleet.heal();
        fleet.timer.run(2 * PROPAGATION_LIMIT_MILLIS);
        assertThat(isolated.revisions().inventory()).isEqualTo(6);
    }

    @Test
    void catchUpCompletesOnceRevisionsAreReached() {
        isolatePairWithOneAhead();
        CompletableFuture<Revisions> caughtUp = fleet.followers
                .get(20)
                .catchUp(fleet.peer(20, 21), new Revisions(6, 2))
                .toCompletableFuture();
        fleet.timer.run(5);

        assertThat(caughtUp).isCompletedWithValue(new Revisions(6, 2));
    }

    @Test
    void catchUpCompletesWithActiveRevisionsAfterTimeout() {
        CompletableFuture<Revisions> caughtUp = fleet.followers
                .get(20)
                .catchUp(fleet.peer(20, 21), new Revisions(99, 2))
                .toCompletableFuture();
        fleet.timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(caughtUp).isCompletedWithValue(new Revisions(5, 2));
    }

    @Test
    void processCatchesUpWithPeerThatReportsHigherRevision() {
        isolatePairWithOneAhead();
        fleet.followers.get(20).onPeerRevisions(fleet.peer(20, 21), new Revisions(6, 2));
        fleet.timer.run(250);

        assertThat(fleet.followers.get(20).revisions().inventory()).isEqualTo(6);
    }

    @Test
    void pausedFleetCatchesUpAfterResume() {
        fleet.clock.advanceMillis(HOUR_MILLIS);
        publish(8);

        assertThat(fleet.millisUntilAllAt(new Revisions(8, 2), PROPAGATION_LIMIT_MILLIS))
                .isNotNegative();
    }

    @Test
    void addedInstanceSubscribesInsteadOfReadingTheService() {
        FollowerCore added = fleet.add(SIZE, fleet.service, SEEDS);
        fleet.service.publish("inventory", 6, TestDocuments.inventory(SIZE + 1, 6));
        fleet.timer.run(SETTLING_MILLIS);

        assertThat(added.revisions().inventory()).isEqualTo(6);
        assertThat(fleet.readers()).hasSize(2 * ReaderPlan.READERS_PER_DOMAIN);
    }

    private void isolatePairWithOneAhead() {
        fleet.service.fail(new ConfigurationResponse.Unavailable("down"));
        fleet.cut((from, to) -> from == 20 || from == 21);
        fleet.timer.run(SETTLING_MILLIS);
        fleet.followers
                .get(21)
                .onDocument(
                        DocumentKind.INVENTORY,
                        new ConfigurationResponse.Published(6, TestDocuments.inventory(SIZE, 6)));
        fleet.heal();
    }

    private ConfigurationService staleReplica() {
        FakeService stale = new FakeService(fleet.clock, fleet.timer);
        stale.publish("inventory", 5, TestDocuments.inventory(SIZE, 5));
        stale.publish("rules", 2, TestDocuments.RULES);
        return stale;
    }

    private void publish(long revision) {
        fleet.service.publish("inventory", revision, TestDocuments.inventory(SIZE, (int) revision));
    }

    private long updates(String kind) {
        return fleet.metrics.stream()
                .mapToLong(registry ->
                        registry.counter("following.updates." + kind).getCount())
                .sum();
    }
}
