package org.merlinwood.decision.suspicion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** Guards against prompts that share a portion, no two alike, crashing one engine after another. */
final class PrefixSuspicionRegistryTest {

    private static final long COMMON = 1;
    private static final long CRASHING = 2;
    private static final long HARMLESS = 3;
    private static final long OTHER = 4;
    private static final long RETENTION_MILLIS = 3_600_000;
    private static final long APART_MILLIS = PrefixSuspicionRegistry.SAME_EVENT_MILLIS + 1;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final PrefixSuspicionRegistry registry = new PrefixSuspicionRegistry(clock);
    private int requests;
    private int crashes;

    @BeforeEach
    void configure() {
        registry.configure(RETENTION_MILLIS);
    }

    @Test
    void refusesWhatTwoCrashesHaveInCommonAndNotWhatAllPromptsShare() {
        crash(COMMON, CRASHING);
        crash(COMMON, CRASHING);
        assertThat(decide(COMMON, CRASHING)).isInstanceOf(PrefixDecision.Refuse.class);
        assertThat(decide(COMMON, HARMLESS)).isEqualTo(new PrefixDecision.Watch());
        assertThat(decide(HARMLESS)).isEqualTo(new PrefixDecision.Free());
    }

    @Test
    void prefixThatGotTokenSinceItsLastCrashIsSound() {
        crash(COMMON, CRASHING);
        registry.recordFirstToken(prefixes(COMMON, CRASHING));
        crash(COMMON, CRASHING);
        assertThat(decide(COMMON, CRASHING)).isEqualTo(new PrefixDecision.Watch());
    }

    @Test
    void commonPrefixIsRefusedWhenItAloneIsCommonToCrashes() {
        crash(COMMON, CRASHING);
        crash(COMMON, HARMLESS);
        assertThat(decide(COMMON, OTHER)).isInstanceOf(PrefixDecision.Refuse.class);
    }

    @Test
    void enginesThatEndTogetherAreOneEvent() {
        for (int engine = 0; engine < 5; engine++) {
            record(nextCrash(), COMMON, HARMLESS);
            clock.advanceMillis(10);
        }
        assertThat(decide(COMMON, HARMLESS)).isEqualTo(new PrefixDecision.Watch());
    }

    @Test
    void reportsOfOneCrashAreOneEventHoweverLateTheyAre() {
        EngineCrash crash = nextCrash();
        record(crash, COMMON, HARMLESS);
        clock.advanceMillis(APART_MILLIS);
        record(crash, COMMON, HARMLESS);
        assertThat(decide(COMMON, HARMLESS)).isEqualTo(new PrefixDecision.Watch());
    }

    @Test
    void twoPrefixesOfTheSameCrashesAreRefusedOnlyAfterMoreOfThem() {
        for (int crash = 1; crash <= PrefixSuspicionRegistry.MAXIMUM_CRASHES; crash++) {
            assertThat(decide(COMMON, HARMLESS)).isNotInstanceOf(PrefixDecision.Refuse.class);
            EngineCrash next = nextCrash();
            record(next, COMMON, CRASHING);
            record(next, COMMON, HARMLESS);
            clock.advanceMillis(APART_MILLIS);
        }
        assertThat(decide(COMMON, CRASHING)).isInstanceOf(PrefixDecision.Refuse.class);
        assertThat(decide(COMMON, OTHER)).isEqualTo(new PrefixDecision.Watch());
    }

    @Test
    void prefixBesideTheCrashingOneIsSoundOnceItGotToken() {
        for (int crash = 1; crash <= PrefixSuspicionRegistry.MINIMUM_CRASHES; crash++) {
            EngineCrash next = nextCrash();
            record(next, COMMON, CRASHING);
            record(next, COMMON, HARMLESS);
            clock.advanceMillis(APART_MILLIS);
        }
        registry.recordFirstToken(prefixes(COMMON, HARMLESS));
        assertThat(decide(COMMON, CRASHING)).isInstanceOf(PrefixDecision.Refuse.class);
        assertThat(decide(COMMON, HARMLESS)).isEqualTo(new PrefixDecision.Free());
    }

    @Test
    void sameRequestSentAgainDoesNotBlameItsPrefixes() {
        for (int crash = 1; crash <= PrefixSuspicionRegistry.MAXIMUM_CRASHES; crash++) {
            registry.recordCrash(nextCrash(), prefixes(COMMON, CRASHING), new Fingerprint("aa"));
            clock.advanceMillis(APART_MILLIS);
        }
        assertThat(decide(COMMON, CRASHING)).isEqualTo(new PrefixDecision.Watch());
    }

    @Test
    void refusalExpires() {
        crash(COMMON, CRASHING);
        crash(COMMON, CRASHING);
        clock.advanceMillis(RETENTION_MILLIS);
        assertThat(decide(COMMON, CRASHING)).isEqualTo(new PrefixDecision.Free());
    }

    /** Records a crash that follows the last one after some time, beside a request that did not come before. */
    private void crash(Long... prompt) {
        record(nextCrash(), prompt);
        clock.advanceMillis(APART_MILLIS);
    }

    private void record(EngineCrash crash, Long... prompt) {
        requests++;
        registry.recordCrash(crash, prefixes(prompt), new Fingerprint(String.valueOf(requests)));
    }

    private EngineCrash nextCrash() {
        crashes++;
        return new EngineCrash(new InstanceName("engine-" + crashes), 1);
    }

    private PrefixDecision decide(Long... prompt) {
        return registry.decide(prefixes(prompt));
    }

    private static PrefixBlocks prefixes(Long... prompt) {
        return PrefixBlocks.ofHashes(List.of(prompt));
    }
}
