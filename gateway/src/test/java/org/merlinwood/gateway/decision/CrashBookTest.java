package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;

final class CrashBookTest {

    private static final long REQUEST = 42;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final CrashHistory book = new CrashHistory(clock);

    @Test
    void aRequestThatLostTwoInstancesIsBarredAtEveryEntry() {
        CrashHistory other = new CrashHistory(clock);
        book.recordLoss(REQUEST, "one");
        other.recordLoss(REQUEST, "two");
        other.drainUnsentLosses().forEach(run -> book.recordPeerLoss(run.fingerprint(), run.instance()));
        assertThat(book.isBlocked(REQUEST)).isTrue();
        assertThat(other.isBlocked(REQUEST)).isFalse();
    }

    @Test
    void oneInstanceThatFailsTwiceBarsNothing() {
        book.recordLoss(REQUEST, "one");
        book.recordLoss(REQUEST, "one");
        assertThat(book.isBlocked(REQUEST)).isFalse();
    }

    @Test
    void aWholeAnswerClearsTheSuspicion() {
        book.recordLoss(REQUEST, "one");
        book.remove(REQUEST);
        book.recordLoss(REQUEST, "two");
        assertThat(book.isBlocked(REQUEST)).isFalse();
    }

    @Test
    void lossesAreForgottenByAge() {
        book.recordLoss(REQUEST, "one");
        book.recordLoss(REQUEST, "two");
        clock.advanceMillis(CrashHistory.MEMORY_MILLIS + 1);
        assertThat(book.isBlocked(REQUEST)).isFalse();
    }
}
