package org.merlinwood.following.impl;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.following.ActiveConfiguration;

/** Tests a follower without peers, in virtual time. */
class ServiceFollowingTest {

    private static final long HOUR_MILLIS = 3_600_000;
    private static final long PROPAGATION_LIMIT_MILLIS = 4_000;
    private static final long LONGEST_BACK_OFF_AND_WATCH_MILLIS = 15_000;

    private final ManualMillisClock clock = new ManualMillisClock(1);
    private final VirtualTimer timer = new VirtualTimer(clock);
    private final FakeService service = new FakeService(clock, timer);
    private final MetricRegistry metrics = new MetricRegistry();
    private final FollowerCore core =
            new FollowerCore(TestDocuments.settings(0, List.of()), timer, clock, service, metrics, 7);
    private final List<Revisions> notifiedRevisions = new ArrayList<>();

    @BeforeEach
    void start() {
        service.publish("inventory", 5, TestDocuments.inventory(5));
        service.publish("rules", 2, TestDocuments.RULES);
        core.addListener(configuration -> notifiedRevisions.add(configuration.revisions()));
        core.start();
        timer.run(PROPAGATION_LIMIT_MILLIS);
    }

    @Test
    void becomesReadyOnceBothDocumentsAreActive() {
        assertThat(core.isReady()).isTrue();
        assertThat(core.revisions()).isEqualTo(new Revisions(5, 2));
        assertThat(notifiedRevisions).containsExactly(new Revisions(5, 2));
    }

    @Test
    void acceptsHigherRevisionWhenRevisionsAreSkipped() {
        service.publish("inventory", 9, TestDocuments.inventory(9));
        timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(core.current().map(ActiveConfiguration::revisions)).contains(new Revisions(9, 2));
    }

    @ParameterizedTest
    @CsvSource({"5, 6", "6, 5"})
    void concurrentPublicationsEndOnHigherRevision(long first, long second) {
        service.publish("inventory", first + 10, TestDocuments.inventory((int) first));
        timer.run(10);
        service.publish("inventory", second + 10, TestDocuments.inventory((int) second));
        timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(core.revisions().inventory()).isEqualTo(16);
    }

    @Test
    void staleServiceReplicaDoesNotRevertRevision() {
        service.publish("inventory", 4, TestDocuments.inventory(4));
        timer.run(HOUR_MILLIS);

        assertThat(core.revisions().inventory()).isEqualTo(5);
        assertThat(notifiedRevisions).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 4})
    void lowerRevisionFromServiceOrPeerIsCountedAsStale(long revision) {
        String text = TestDocuments.inventory(4);
        core.onDocument(DocumentKind.INVENTORY, new ConfigurationResponse.Published(revision, text));
        core.store()
                .apply(
                        new DocumentUpdate(
                                DocumentKind.INVENTORY, revision, Revisions.NONE, ByteString.copyFromUtf8(text)),
                        "peer");

        assertThat(core.revisions().inventory()).isEqualTo(5);
        assertThat(notifiedRevisions).hasSize(1);
        assertThat(metrics.counter("following.documents.stale").getCount()).isEqualTo(2);
    }

    @Test
    void invalidDocumentIsRejectedWithErrorPositions() {
        service.publish("inventory", 6, TestDocuments.invalidInventory());
        timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(core.revisions().inventory()).isEqualTo(5);
        assertThat(core.state().inventory().rejectedRevision()).isEqualTo(6);
        assertThat(core.state().inventory().rejectedBecause())
                .hasSize(3)
                .first()
                .asString()
                .startsWith("inventory:2:");
        assertThat(metrics.counter("following.documents.invalid").getCount()).isEqualTo(1);
    }

    @Test
    void rejectedRevisionIsNotFetchedRepeatedly() {
        service.publish("inventory", 6, TestDocuments.invalidInventory());
        timer.run(PROPAGATION_LIMIT_MILLIS);
        int fetchesBefore = service.fetchCount();
        timer.run(60_000);

        assertThat(service.fetchCount() - fetchesBefore).isLessThan(60);
    }

    @Test
    void acceptsCorrectedRevisionAfterInvalidOne() {
        service.publish("inventory", 6, TestDocuments.invalidInventory());
        timer.run(PROPAGATION_LIMIT_MILLIS);
        service.publish("inventory", 7, TestDocuments.inventory(7));
        timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(core.revisions().inventory()).isEqualTo(7);
        assertThat(core.state().inventory().rejectedRevision()).isZero();
    }

    @Test
    void activeRevisionWithDifferentContentIsRejectedAsConflicting() {
        core.onDocument(DocumentKind.INVENTORY, new ConfigurationResponse.Published(5, TestDocuments.inventory(6)));

        assertThat(core.current().orElseThrow().inventory().instances().values())
                .allSatisfy(instance -> assertThat(instance.concurrency()).isEqualTo(5));
        assertThat(metrics.counter("following.documents.conflicting").getCount())
                .isEqualTo(1);
    }

    @Test
    void keepsActiveDocumentsDuringOutageAndCatchesUpAfterwards() {
        service.fail(new ConfigurationResponse.Unavailable("down"));
        timer.run(HOUR_MILLIS);
        assertThat(core.isReady()).isTrue();
        assertThat(core.state().serviceFailures()).isPositive();

        service.recover();
        service.publish("rules", 3, TestDocuments.RULES);
        timer.run(LONGEST_BACK_OFF_AND_WATCH_MILLIS);

        assertThat(core.revisions().rules()).isEqualTo(3);
        assertThat(core.state().serviceFailures()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"0, 60", "30000, 6"})
    void busyServiceIsFetchedWithBackOff(long retryAfterMillis, int maximumFetchesPerMinute) {
        service.fail(new ConfigurationResponse.Busy(retryAfterMillis));
        timer.run(60_000);
        int fetchesBefore = service.fetchCount();
        timer.run(60_000);

        assertThat(service.fetchCount() - fetchesBefore).isLessThanOrEqualTo(maximumFetchesPerMinute);
    }

    @Test
    void pausedProcessWithLostWatchCatchesUpAfterResume() {
        service.dropPendingFetches();
        clock.advanceMillis(HOUR_MILLIS);
        service.publish("inventory", 8, TestDocuments.inventory(8));
        timer.run(PROPAGATION_LIMIT_MILLIS);

        assertThat(core.revisions().inventory()).isEqualTo(8);
    }
}
