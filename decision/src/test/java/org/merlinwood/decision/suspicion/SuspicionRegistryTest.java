package org.merlinwood.decision.suspicion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;

final class SuspicionRegistryTest {

    private static final Fingerprint CRASHING = new Fingerprint("aa");
    private static final Fingerprint HARMLESS = new Fingerprint("bb");
    private static final RequestIdentifier FIRST = new RequestIdentifier(0, 1);
    private static final RequestIdentifier SECOND = new RequestIdentifier(0, 2);
    private static final long RETENTION_MILLIS = 3_600_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final SuspicionRegistry registry = new SuspicionRegistry(clock);

    @BeforeEach
    void configure() {
        registry.configure(RETENTION_MILLIS);
    }

    @Test
    void isolatesAfterACrashWithOtherRequestsRunning() {
        registry.recordCrash(CRASHING, false);
        assertThat(registry.decide(CRASHING, FIRST)).isEqualTo(new SuspicionDecision.Isolate(1));
    }

    @Test
    void quarantinesAfterACrashWhileRunningAlone() {
        registry.recordCrash(CRASHING, true);
        assertThat(registry.decide(CRASHING, FIRST)).isInstanceOf(SuspicionDecision.Quarantined.class);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void quarantinesAfterTwoCrashes(boolean aloneAtLast) {
        int ended = 0;
        while (!(registry.decide(CRASHING, FIRST) instanceof SuspicionDecision.Quarantined)) {
            ended++;
            registry.recordCrash(CRASHING, ended > 1 && aloneAtLast);
        }
        assertThat(ended).isEqualTo(SuspicionRegistry.MAXIMUM_CRASHES);
    }

    @Test
    void clearsASuspectThatSurvivesAlone() {
        registry.recordCrash(HARMLESS, false);
        registry.decide(HARMLESS, FIRST);
        registry.recordSurvival(HARMLESS);
        assertThat(registry.decide(HARMLESS, FIRST)).isEqualTo(new SuspicionDecision.Free());
    }

    @Test
    void keepsQuarantineAfterASurvival() {
        registry.recordCrash(CRASHING, true);
        registry.recordSurvival(CRASHING);
        assertThat(registry.decide(CRASHING, FIRST)).isInstanceOf(SuspicionDecision.Quarantined.class);
    }

    @Test
    void leasesASuspectToOneRequestAtATime() {
        registry.recordCrash(CRASHING, false);
        registry.decide(CRASHING, FIRST);
        assertThat(registry.decide(CRASHING, SECOND)).isInstanceOf(SuspicionDecision.Wait.class);
        assertThat(registry.decide(CRASHING, FIRST)).isInstanceOf(SuspicionDecision.Isolate.class);
    }

    @Test
    void expiresAfterTheRetentionTime() {
        registry.recordCrash(CRASHING, true);
        clock.advanceMillis(RETENTION_MILLIS);
        assertThat(registry.decide(CRASHING, FIRST)).isEqualTo(new SuspicionDecision.Free());
    }

    @Test
    void evictsTheOldestEntryWhenFull() {
        for (int number = 0; number <= SuspicionRegistry.MAXIMUM_ENTRIES; number++) {
            registry.recordCrash(new Fingerprint("%08x".formatted(number)), true);
        }
        assertThat(registry.state().convicted()).isEqualTo(SuspicionRegistry.MAXIMUM_ENTRIES);
        assertThat(registry.decide(new Fingerprint("00000000"), FIRST)).isEqualTo(new SuspicionDecision.Free());
    }
}
