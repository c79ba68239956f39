package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.gateway.decision.MemoryWaitPolicy.Decision;
import org.merlinwood.gateway.decision.MemoryWaitPolicy.Situation;

final class MemoryWaitPolicyTest {

    private static final long TIME_LEFT_MILLIS = 12_000;

    @ParameterizedTest(name = "waited {0} ms, capacity in {1} ms, {2} ahead, {3} instances")
    @CsvSource({
        "0, 0, 0, 4, true",
        "0, 900, 0, 4, true",
        "0, 900, 12, 4, false",
        "1700, 200, 0, 4, false",
        "0, 5000, 0, 4, false",
    })
    void waitsOnlyIfCapacityIsExpectedWithinLimit(
            long waitedMillis, long untilCapacityMillis, int ahead, int instances, boolean waits) {
        Situation situation = new Situation(
                waitedMillis, false, OptionalLong.of(untilCapacityMillis), ahead, instances, TIME_LEFT_MILLIS, 0);
        assertThat(MemoryWaitPolicy.decide(situation) instanceof Decision.Wait).isEqualTo(waits);
    }

    @Test
    void refusesImmediatelyIfNoCapacityIsForecast() {
        Situation situation = new Situation(0, false, OptionalLong.empty(), 0, 0, TIME_LEFT_MILLIS, 0);
        assertThat(MemoryWaitPolicy.decide(situation)).isInstanceOf(Decision.Refuse.class);
    }

    @Test
    void interruptedStreamWaitsUntilInterruptionLimit() {
        Situation withinLimit = new Situation(2_000, true, OptionalLong.empty(), 0, 0, TIME_LEFT_MILLIS, 0);
        Situation pastLimit = new Situation(3_000, true, OptionalLong.empty(), 0, 0, TIME_LEFT_MILLIS, 0);
        assertThat(MemoryWaitPolicy.decide(withinLimit)).isInstanceOf(Decision.Wait.class);
        assertThat(MemoryWaitPolicy.decide(pastLimit)).isInstanceOf(Decision.Refuse.class);
    }

    @ParameterizedTest
    @CsvSource({"0, 12000", "900, 12000", "9000, 12000", "0, 300"})
    void retryAfterTimesAreJitteredAndWithinFractionOfTimeLeft(long expectedMillis, long timeLeftMillis) {
        long longest = Math.max(200, Math.round(timeLeftMillis * 0.33));
        LongStream retryAfterMillis = LongStream.range(0, 200)
                .map(jitterSeed -> MemoryWaitPolicy.retryAfterMillis(expectedMillis, timeLeftMillis, jitterSeed));
        assertThat(retryAfterMillis.boxed().toList())
                .allMatch(millis -> millis > 0 && millis <= longest)
                .satisfies(all -> assertThat(all.stream().distinct().count()).isGreaterThan(20));
    }
}
