package org.merlinwood.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.core.time.ManualMillisClock;

final class CrashHistoryTest {

    private static final long REQUEST = 42;
    private static final long OTHER_REQUEST = 43;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final CrashHistory history = new CrashHistory(clock);

    @Test
    void blocksRequestAfterLossesOfTwoInstancesIncludingPeerLosses() {
        CrashHistory other = new CrashHistory(clock);
        history.recordLoss(lostRun("one"));
        other.recordLoss(lostRun("two"));
        other.drainUnsentLosses().forEach(history::recordPeerLoss);
        assertThat(history.isBlocked(REQUEST)).isTrue();
        assertThat(other.isBlocked(REQUEST)).isFalse();
    }

    @Test
    void doesNotBlockRequestAfterTwoLossesOfSameInstance() {
        history.recordLoss(lostRun("one"));
        history.recordLoss(lostRun("one"));
        assertThat(history.isBlocked(REQUEST)).isFalse();
    }

    /** Guards against a sound request that is blocked since two instances that responded to it were lost. */
    @ParameterizedTest
    @CsvSource({"STRONG, STRONG, true", "STRONG, WEAK, false", "WEAK, STRONG, false", "WEAK, WEAK, false"})
    void weakSuspicionDoesNotBlockAfterTwoLosses(Suspicion first, Suspicion second, boolean blocked) {
        history.recordLoss(new LostRun(REQUEST, "one", first));
        history.recordPeerLoss(new LostRun(REQUEST, "two", second));
        assertThat(history.isBlocked(REQUEST)).isEqualTo(blocked);
    }

    /** A request that crashes its instances late is contained as well, over all entries. */
    @Test
    void weakSuspicionBlocksAfterThreeLosses() {
        history.recordLoss(new LostRun(REQUEST, "one", Suspicion.WEAK));
        history.recordPeerLoss(new LostRun(REQUEST, "two", Suspicion.WEAK));
        history.recordPeerLoss(new LostRun(REQUEST, "three", Suspicion.WEAK));
        assertThat(history.isBlocked(REQUEST)).isTrue();
    }

    /** The weaker of two reports of one loss does not replace the stronger one. */
    @Test
    void strongSuspicionOfAnInstanceStays() {
        history.recordLoss(lostRun("one"));
        history.recordPeerLoss(new LostRun(REQUEST, "one", Suspicion.WEAK));
        history.recordLoss(lostRun("two"));
        assertThat(history.isBlocked(REQUEST)).isTrue();
    }

    /** Guards against one instance that breaks off connections, for which sound requests are blocked. */
    @Test
    void instanceThatRespondsAfterwardsWasNotLost() {
        history.recordLoss(lostRun("one"));
        clock.advanceMillis(PendingCrashes.DELAYED_BYTES_MILLIS);
        assertThat(history.recordResponding("one")).isTrue();
        history.recordLoss(lostRun("two"));
        assertThat(history.isBlocked(REQUEST)).isFalse();
        assertThat(history.drainUnsentLosses()).containsExactly(lostRun("two"));
    }

    /** Bytes that were on their way don't show that an instance lives, nor do those of its next start. */
    @ParameterizedTest
    @CsvSource({"0", "29", "501", "5000"})
    void bytesOfBeforeOrOfTheNextStartDoNotClear(long millis) {
        history.recordLoss(lostRun("one"));
        clock.advanceMillis(millis);
        assertThat(history.recordResponding("one")).isFalse();
        history.recordLoss(lostRun("two"));
        assertThat(history.isBlocked(REQUEST)).isTrue();
    }

    /** Only losses of that moment are withdrawn: the instance had crashed before, and was started again. */
    @Test
    void crashStaysKnownWhenALaterConnectionToTheInstanceBreaks() {
        history.recordLoss(lostRun("one"));
        clock.advanceMillis(CrashHistory.RESTART_MILLIS + 1);
        history.recordLoss(new LostRun(OTHER_REQUEST, "one", Suspicion.STRONG));
        clock.advanceMillis(PendingCrashes.DELAYED_BYTES_MILLIS);
        assertThat(history.recordResponding("one")).isTrue();
        history.recordLoss(lostRun("two"));
        assertThat(history.isBlocked(REQUEST)).isTrue();
    }

    @Test
    void completeResponseClearsEarlierLosses() {
        history.recordLoss(lostRun("one"));
        history.recordSound(REQUEST);
        history.recordLoss(lostRun("two"));
        assertThat(history.isBlocked(REQUEST)).isFalse();
    }

    /** Guards against content that many callers send, which is refused to all since two instances crashed. */
    @Test
    void requestThatWasSoundIsBlockedAfterFiveLosses() {
        history.recordSound(REQUEST);
        for (String instance : new String[] {"one", "two", "three", "four"}) {
            history.recordLoss(lostRun(instance));
        }
        assertThat(history.isBlocked(REQUEST)).isFalse();
        history.recordLoss(lostRun("five"));
        assertThat(history.isBlocked(REQUEST)).isTrue();
    }

    @Test
    void lossesExpireAfterRetentionTime() {
        history.recordLoss(lostRun("one"));
        history.recordLoss(lostRun("two"));
        clock.advanceMillis(CrashHistory.RETENTION_MILLIS + 1);
        assertThat(history.isBlocked(REQUEST)).isFalse();
    }

    private static LostRun lostRun(String instance) {
        return new LostRun(REQUEST, instance, Suspicion.STRONG);
    }
}
