package org.merlinwood.decision.suspicion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;

final class SuspicionBookTest {

    private static final Fingerprint CULPRIT = new Fingerprint("aa");
    private static final Fingerprint INNOCENT = new Fingerprint("bb");
    private static final RequestIdentifier FIRST = new RequestIdentifier(0, 1);
    private static final RequestIdentifier SECOND = new RequestIdentifier(0, 2);
    private static final long MEMORY_MILLIS = 3_600_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final SuspicionBook book = new SuspicionBook(clock);

    @BeforeEach
    void configure() {
        book.configure(MEMORY_MILLIS);
    }

    @Test
    void whatRanInCompanyIsASuspectAndRunsAlone() {
        book.crashed(CULPRIT, false);
        assertThat(book.judge(CULPRIT, FIRST)).isEqualTo(new SuspicionVerdict.Isolate(1));
    }

    @Test
    void aCrashWhileAloneConvicts() {
        book.crashed(CULPRIT, true);
        assertThat(book.judge(CULPRIT, FIRST)).isInstanceOf(SuspicionVerdict.Quarantined.class);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void noFingerprintEndsMoreThanTwoEngines(boolean aloneAtLast) {
        int ended = 0;
        while (!(book.judge(CULPRIT, FIRST) instanceof SuspicionVerdict.Quarantined)) {
            ended++;
            book.crashed(CULPRIT, ended > 1 && aloneAtLast);
        }
        assertThat(ended).isEqualTo(SuspicionBook.MAXIMUM_CRASHES);
    }

    @Test
    void anInnocentThatSurvivesAloneIsFree() {
        book.crashed(INNOCENT, false);
        book.judge(INNOCENT, FIRST);
        book.survived(INNOCENT);
        assertThat(book.judge(INNOCENT, FIRST)).isEqualTo(new SuspicionVerdict.Free());
    }

    @Test
    void aConvictDoesNotBecomeFreeBySurviving() {
        book.crashed(CULPRIT, true);
        book.survived(CULPRIT);
        assertThat(book.judge(CULPRIT, FIRST)).isInstanceOf(SuspicionVerdict.Quarantined.class);
    }

    @Test
    void aSuspectIsLeftToOneRequestAtATime() {
        book.crashed(CULPRIT, false);
        book.judge(CULPRIT, FIRST);
        assertThat(book.judge(CULPRIT, SECOND)).isInstanceOf(SuspicionVerdict.Wait.class);
        assertThat(book.judge(CULPRIT, FIRST)).isInstanceOf(SuspicionVerdict.Isolate.class);
    }

    @Test
    void suspicionAndConvictionExpire() {
        book.crashed(CULPRIT, true);
        clock.advanceMillis(MEMORY_MILLIS);
        assertThat(book.judge(CULPRIT, FIRST)).isEqualTo(new SuspicionVerdict.Free());
    }

    @Test
    void theBookIsBounded() {
        for (int number = 0; number <= SuspicionBook.MAXIMUM_ENTRIES; number++) {
            book.crashed(new Fingerprint("%08x".formatted(number)), true);
        }
        assertThat(book.state().convicted()).isEqualTo(SuspicionBook.MAXIMUM_ENTRIES);
        assertThat(book.judge(new Fingerprint("00000000"), FIRST)).isEqualTo(new SuspicionVerdict.Free());
    }
}
