package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;

final class CrashBookTest {

    private static final long REQUEST = 42;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final CrashBook book = new CrashBook(clock);

    @Test
    void aRequestThatLostTwoInstancesIsBarredAtEveryEntry() {
        CrashBook other = new CrashBook(clock);
        book.lost(REQUEST, "one");
        other.lost(REQUEST, "two");
        other.takeNews().forEach(run -> book.heard(run.fingerprint(), run.instance()));
        assertThat(book.barred(REQUEST)).isTrue();
        assertThat(other.barred(REQUEST)).isFalse();
    }

    @Test
    void oneInstanceThatFailsTwiceBarsNothing() {
        book.lost(REQUEST, "one");
        book.lost(REQUEST, "one");
        assertThat(book.barred(REQUEST)).isFalse();
    }

    @Test
    void aWholeAnswerClearsTheSuspicion() {
        book.lost(REQUEST, "one");
        book.survived(REQUEST);
        book.lost(REQUEST, "two");
        assertThat(book.barred(REQUEST)).isFalse();
    }

    @Test
    void lossesAreForgottenByAge() {
        book.lost(REQUEST, "one");
        book.lost(REQUEST, "two");
        clock.advanceMillis(CrashBook.MEMORY_MILLIS + 1);
        assertThat(book.barred(REQUEST)).isFalse();
    }
}
