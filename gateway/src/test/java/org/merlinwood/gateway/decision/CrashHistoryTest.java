package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;

final class CrashHistoryTest {

    private static final long REQUEST = 42;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final CrashHistory history = new CrashHistory(clock);

    @Test
    void blocksRequestAfterLossesOfTwoInstancesIncludingPeerLosses() {
        CrashHistory other = new CrashHistory(clock);
        history.recordLoss(REQUEST, "one");
        other.recordLoss(REQUEST, "two");
        other.drainUnsentLosses().forEach(run -> history.recordPeerLoss(run.fingerprint(), run.instance()));
        assertThat(history.isBlocked(REQUEST)).isTrue();
        assertThat(other.isBlocked(REQUEST)).isFalse();
    }

    @Test
    void doesNotBlockRequestAfterTwoLossesOfSameInstance() {
        history.recordLoss(REQUEST, "one");
        history.recordLoss(REQUEST, "one");
        assertThat(history.isBlocked(REQUEST)).isFalse();
    }

    @Test
    void removeClearsEarlierLosses() {
        history.recordLoss(REQUEST, "one");
        history.remove(REQUEST);
        history.recordLoss(REQUEST, "two");
        assertThat(history.isBlocked(REQUEST)).isFalse();
    }

    @Test
    void lossesExpireAfterRetentionTime() {
        history.recordLoss(REQUEST, "one");
        history.recordLoss(REQUEST, "two");
        clock.advanceMillis(CrashHistory.RETENTION_MILLIS + 1);
        assertThat(history.isBlocked(REQUEST)).isFalse();
    }
}
