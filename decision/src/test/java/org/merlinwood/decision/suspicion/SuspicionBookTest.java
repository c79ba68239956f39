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
    private final SuspicionRegistry book = new SuspicionRegistry(clock);

    @BeforeEach
    void configure() {
        book.configure(MEMORY_MILLIS);
    }

    @Test
    void whatRanInCompanyIsASuspectAndRunsAlone() {
        book.recordCrash(CULPRIT, false);
        assertThat(book.decide(CULPRIT, FIRST)).isEqualTo(new SuspicionDecision.Isolate(1));
    }

    @Test
    void aCrashWhileAloneConvicts() {
        book.recordCrash(CULPRIT, true);
        assertThat(book.decide(CULPRIT, FIRST)).isInstanceOf(SuspicionDecision.Quarantined.class);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void noFingerprintEndsMoreThanTwoEngines(boolean aloneAtLast) {
        int ended = 0;
        while (!(book.decide(CULPRIT, FIRST) instanceof SuspicionDecision.Quarantined)) {
            ended++;
            book.recordCrash(CULPRIT, ended > 1 && aloneAtLast);
        }
        assertThat(ended).isEqualTo(SuspicionRegistry.MAXIMUM_CRASHES);
    }

    @Test
    void anInnocentThatSurvivesAloneIsFree() {
        book.recordCrash(INNOCENT, false);
        book.decide(INNOCENT, FIRST);
        book.recordSurvival(INNOCENT);
        assertThat(book.decide(INNOCENT, FIRST)).isEqualTo(new SuspicionDecision.Free());
    }

    @Test
    void aConvictDoesNotBecomeFreeBySurviving() {
        book.recordCrash(CULPRIT, true);
        book.recordSurvival(CULPRIT);
        assertThat(book.decide(CULPRIT, FIRST)).isInstanceOf(SuspicionDecision.Quarantined.class);
    }

    @Test
    void aSuspectIsLeftToOneRequestAtATime() {
        book.recordCrash(CULPRIT, false);
        book.decide(CULPRIT, FIRST);
        assertThat(book.decide(CULPRIT, SECOND)).isInstanceOf(SuspicionDecision.Wait.class);
        assertThat(book.decide(CULPRIT, FIRST)).isInstanceOf(SuspicionDecision.Isolate.class);
    }

    @Test
    void suspicionAndConvictionExpire() {
        book.recordCrash(CULPRIT, true);
        clock.advanceMillis(MEMORY_MILLIS);
        assertThat(book.decide(CULPRIT, FIRST)).isEqualTo(new SuspicionDecision.Free());
    }

    @Test
    void theBookIsBounded() {
        for (int number = 0; number <= SuspicionRegistry.MAXIMUM_ENTRIES; number++) {
            book.recordCrash(new Fingerprint("%08x".formatted(number)), true);
        }
        assertThat(book.state().convicted()).isEqualTo(SuspicionRegistry.MAXIMUM_ENTRIES);
        assertThat(book.decide(new Fingerprint("00000000"), FIRST)).isEqualTo(new SuspicionDecision.Free());
    }
}
