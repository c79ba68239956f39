package org.merlinwood.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

final class CrashCausingPartsTest {

    private static final long FIRST = 1;
    private static final long CRASHING = 2;
    private static final long OTHER = 3;

    private final ManualMillisClock clock = new ManualMillisClock(1_000_000);
    private final RecordingCrashListener listener = new RecordingCrashListener();
    private final CrashCausingParts parts = new CrashCausingParts(clock, 1, listener);

    /** Guards against a third crash by requests that share a part with those of two crashes. */
    @Test
    void partOfTwoCrashesIsBlockedAndWhatSoundRequestsShareIsNot() {
        parts.recordBegun(List.of(FIRST));
        crash("a", FIRST, CRASHING);
        assertThat(parts.isBlocked(List.of(FIRST, CRASHING))).isFalse();
        parts.recordBegun(List.of(FIRST, OTHER));
        crash("b", FIRST, CRASHING);
        assertThat(parts.isBlocked(List.of(OTHER, CRASHING))).isTrue();
        assertThat(parts.isBlocked(List.of(FIRST))).isFalse();
        assertThat(parts.isBlocked(List.of(FIRST, OTHER))).isFalse();
    }

    /** Guards against a block of the first part of a route of which no response had begun before. */
    @Test
    void partsThatNoRequestHasToldApartAreBlockedOnlyTogether() {
        crash("a", FIRST, CRASHING);
        crash("b", FIRST, CRASHING);
        parts.recordBegun(List.of(OTHER));
        assertThat(parts.isBlocked(List.of(FIRST, CRASHING))).isTrue();
        assertThat(parts.isBlocked(List.of(FIRST, OTHER))).isFalse();
        parts.recordBegun(List.of(FIRST, OTHER));
        assertThat(parts.isBlocked(List.of(CRASHING))).isTrue();
    }

    /** Guards against the loss of all requests of a service whose instances crash for reasons of their own. */
    @Test
    void partOfAllRequestsIsNotBlockedWhileNoOtherRequestSucceeds() {
        crash("a", FIRST, 11L);
        crash("b", FIRST, 12L);
        crash("c", FIRST, 13L);
        crash("d", FIRST, 14L);
        assertThat(parts.isBlocked(List.of(FIRST, 15L))).isFalse();
    }

    /** Guards against a block of a part that was sound before, because of instances that end for other reasons. */
    @ParameterizedTest
    @ValueSource(longs = {FIRST, OTHER})
    void partThatWasSoundIsNotBlockedAfterFewCrashes(long part) {
        parts.recordBegun(List.of(part));
        clock.advanceMillis(1);
        for (String instance : List.of("a", "b", "c", "d")) {
            crash(instance, part);
            parts.recordBegun(List.of(99L));
        }
        assertThat(parts.isBlocked(List.of(part))).isFalse();
        crash("e", part);
        assertThat(parts.isBlocked(List.of(part))).isTrue();
    }

    /** Guards against blocks after a failure domain has ended many instances at the same moment. */
    @Test
    void crashesAtTheSameMomentCountOnce() {
        long sentMillis = clock.monotonicMillis();
        clock.advanceMillis(100);
        for (String instance : List.of("a", "b", "c", "d")) {
            parts.recordLoss(instance(instance), sentMillis, List.of(FIRST, CRASHING));
            clock.advanceMillis(40);
        }
        confirm();
        parts.recordBegun(List.of(OTHER));
        assertThat(listener.crashed).containsExactly("a", "b", "c", "d");
        assertThat(parts.isBlocked(List.of(FIRST, CRASHING))).isFalse();
    }

    /** Guards against a second crash by the retry of a request, so soon that it seems to be the same event. */
    @Test
    void crashByRequestThatWasSentAfterTheFirstCrashCountsAnew() {
        parts.recordBegun(List.of(FIRST));
        parts.recordLoss(instance("a"), clock.monotonicMillis() - 50, List.of(FIRST, CRASHING));
        clock.advanceMillis(20);
        long sentAgainMillis = clock.monotonicMillis();
        clock.advanceMillis(80);
        parts.recordLoss(instance("b"), sentAgainMillis, List.of(FIRST, CRASHING));
        confirm();
        parts.recordBegun(List.of(FIRST));
        assertThat(parts.isBlocked(List.of(CRASHING))).isTrue();
    }

    /** Guards against two crashes that peers count as one because the report of the first waited for its turn. */
    @Test
    void crashesKeepTheirMomentsHoweverLongTheirReportWaits() {
        CrashCausingParts peer = new CrashCausingParts(clock, 1, new RecordingCrashListener());
        parts.recordLoss(instance("a"), clock.monotonicMillis() - 50, List.of(FIRST, CRASHING));
        clock.advanceMillis(9);
        long sentAgainMillis = clock.monotonicMillis();
        clock.advanceMillis(129);
        parts.recordLoss(instance("b"), sentAgainMillis, List.of(FIRST, CRASHING));
        clock.advanceMillis(25);
        assertThat(parts.isBlocked(List.of(FIRST, CRASHING))).isFalse();
        clock.advanceMillis(74);
        peer.onPeerReport("peer", parts.report());
        clock.advanceMillis(60);
        peer.onPeerReport("peer", parts.report());
        peer.recordBegun(List.of(OTHER));
        assertThat(peer.isBlocked(List.of(FIRST, CRASHING))).isTrue();
    }

    /** Guards against blame for a connection that was reset while its instance went on. */
    @Test
    void instanceThatGoesOnToSendHasNotCrashed() {
        for (String instance : List.of("a", "b", "c")) {
            parts.recordLoss(instance(instance), clock.monotonicMillis(), List.of(CRASHING));
            clock.advanceMillis(80);
            parts.recordResponding(instance(instance));
            confirm();
            parts.recordBegun(List.of(OTHER));
        }
        assertThat(listener.alive).containsExactly("a", "b", "c");
        assertThat(parts.isBlocked(List.of(CRASHING))).isFalse();
    }

    /** Guards against a block that stays although a response to its part has begun since. */
    @Test
    void partIsClearedByResponseThatBeginsAtAnyEntry() {
        crash("a", CRASHING);
        crash("b", CRASHING);
        parts.recordBegun(List.of(OTHER));
        assertThat(parts.isBlocked(List.of(CRASHING))).isTrue();
        parts.onPeerReport(
                "peer", new CrashReport(List.of(), List.of(new CrashReport.BegunPart(CRASHING, 0)), List.of()));
        assertThat(parts.isBlocked(List.of(CRASHING))).isFalse();
        assertThat(listener.cleared).containsExactly(CRASHING);
    }

    /** Guards against an entry that starts, or comes back from a partition, and sends what the others block. */
    @Test
    void entryThatStartsLearnsAllBlocksFromItsPeers() {
        for (long part = 100; part < 120; part++) {
            crash("a" + part, part);
            crash("b" + part, part);
            parts.recordBegun(List.of(OTHER));
        }
        CrashCausingParts started = new CrashCausingParts(clock, 1, new RecordingCrashListener());
        for (int report = 0; report < 5; report++) {
            started.onPeerReport("peer", parts.report());
        }
        for (long part = 100; part < 120; part++) {
            assertThat(started.isBlocked(List.of(part))).isTrue();
        }
    }

    /** Guards against blocks that never end, and against more than one trial at a time when they do. */
    @Test
    void expiredBlockLetsOneTrialThroughAndOneCrashBeginsItAnewForLonger() {
        crash("a", CRASHING);
        crash("b", CRASHING);
        parts.recordBegun(List.of(OTHER));
        clock.advanceMillis(BlockedParts.FIRST_BLOCK_MILLIS);
        assertThat(parts.isBlocked(List.of(CRASHING))).isFalse();
        parts.recordSent(List.of(CRASHING));
        assertThat(parts.isBlocked(List.of(CRASHING))).isTrue();
        crash("c", CRASHING);
        clock.advanceMillis(2 * BlockedParts.FIRST_BLOCK_MILLIS - 1_000);
        assertThat(parts.isBlocked(List.of(CRASHING))).isTrue();
        clock.advanceMillis(1_000);
        assertThat(parts.isBlocked(List.of(CRASHING))).isFalse();
    }

    /** Guards against peers that tell each other an old block again and again after a trial has succeeded. */
    @Test
    void blockOfPeerThatIsOlderThanTheLastSuccessIsNotAdopted() {
        parts.recordBegun(List.of(CRASHING));
        clock.advanceMillis(10);
        CrashReport.Block old = new CrashReport.Block(Set.of(CRASHING), 5_000, 3);
        parts.onPeerReport("peer", new CrashReport(List.of(), List.of(), List.of(old)));
        assertThat(parts.isBlocked(List.of(CRASHING))).isFalse();
    }

    /** Guards against suspects of one crash that are taken for one request. */
    @Test
    void requestBesideTheCulpritInBothCrashesDoesNotProtectItsPart() {
        crashOfTwo("a", List.of(CRASHING), List.of(OTHER));
        crashOfTwo("b", List.of(CRASHING), List.of(OTHER));
        parts.recordBegun(List.of(99L));
        assertThat(parts.isBlocked(List.of(CRASHING))).isTrue();
    }

    /** Guards against a block of the first part of a route because a sound request waited beside the culprit twice. */
    @Test
    void soundRequestBesideTheCulpritInBothCrashesDoesNotGetItsCommonPartBlocked() {
        crashOfTwo("a", List.of(FIRST, CRASHING), List.of(FIRST));
        crashOfTwo("b", List.of(FIRST, CRASHING), List.of(FIRST));
        parts.recordBegun(List.of(99L));
        assertThat(parts.isBlocked(List.of(FIRST, CRASHING))).isTrue();
        assertThat(parts.isBlocked(List.of(FIRST, OTHER))).isFalse();
    }

    private void crash(String instance, Long... suspectParts) {
        parts.recordLoss(instance(instance), clock.monotonicMillis(), List.of(suspectParts));
        confirm();
        clock.advanceMillis(CrashEvidence.OCCURRENCE_MILLIS);
    }

    private void crashOfTwo(String instance, List<Long> suspect, List<Long> otherSuspect) {
        parts.recordLoss(instance(instance), clock.monotonicMillis(), otherSuspect);
        parts.recordLoss(instance(instance), clock.monotonicMillis(), suspect);
        confirm();
        clock.advanceMillis(CrashEvidence.OCCURRENCE_MILLIS);
    }

    private void confirm() {
        clock.advanceMillis(PendingCrashes.CONFIRMATION_MILLIS);
        parts.isBlocked(List.of());
    }

    private static UpstreamInstance instance(String identifier) {
        return new UpstreamInstance(
                identifier, "service", new InetSocketAddress("127.0.0.1", 1), "near", 4, false, Stage.DECODE, 1, "v1");
    }
}
