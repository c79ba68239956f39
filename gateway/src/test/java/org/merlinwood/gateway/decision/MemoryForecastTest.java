package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.merlinwood.gateway.decision.MemoryForecast.Growth;

final class MemoryForecastTest {

    static Stream<Arguments> peaks() {
        return Stream.of(
                Arguments.of("no response in progress", List.of(), 0L),
                Arguments.of("one response", List.of(new Growth(100, 50)), 150L),
                Arguments.of("two responses that end together", Collections.nCopies(2, new Growth(100, 50)), 300L),
                Arguments.of(
                        "one response ends before the other grows",
                        List.of(new Growth(500, 10), new Growth(100, 400)),
                        620L),
                Arguments.of("peak at the last end", List.of(new Growth(10, 1), new Growth(100, 900)), 1_000L));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("peaks")
    void peakIsReachedJustBeforeResponseEnds(String name, List<Growth> generations, long peak) {
        assertThat(MemoryForecast.peakTokens(generations)).isEqualTo(peak);
    }

    /**
     * Responses to a burst of long prompts all grow at the same time. Admission by prompt length alone would run out of
     * memory.
     */
    @Test
    void burstIsAdmittedOnlyUpToPeakMemory() {
        long capacity = 74_000;
        Growth next = new Growth(5_200, 5_000);
        List<Growth> admitted = new ArrayList<>();
        while (fits(admitted, next, capacity)) {
            admitted.add(next);
        }
        assertThat(admitted).hasSize(7);
    }

    /** Responses with many expected tokens need a large reserve; those with few expected tokens need hardly any. */
    @Test
    void reserveGrowsWithExpectedRemainingLength() {
        List<Growth> uncertain = Collections.nCopies(6, new Growth(5_200, 5_150));
        List<Growth> nearlyCertain = Collections.nCopies(12, new Growth(5_200, 40));
        assertThat(MemoryForecast.neededTokens(uncertain) - MemoryForecast.peakTokens(uncertain))
                .isBetween(10_000L, 12_000L);
        assertThat(MemoryForecast.neededTokens(nearlyCertain) - MemoryForecast.peakTokens(nearlyCertain))
                .isLessThan(200);
    }

    /** Under steady load the responses are at different points of their growth and do not reach their peak together. */
    @Test
    void staggeredResponsesNeedLessThanSimultaneousOnes() {
        List<Growth> staggered = new ArrayList<>();
        for (int generated = 0; generated <= 4_000; generated += 1_000) {
            staggered.add(new Growth(5_200 + generated, 5_000 - generated));
        }
        List<Growth> simultaneous = Collections.nCopies(5, new Growth(5_200, 5_000));
        assertThat(MemoryForecast.peakTokens(staggered)).isLessThan(MemoryForecast.peakTokens(simultaneous));
    }

    static Stream<Arguments> waits() {
        List<Growth> full = List.of(new Growth(500, 100), new Growth(400, 300));
        return Stream.of(
                Arguments.of("fits now", List.of(), 1_000L, OptionalLong.of(0)),
                Arguments.of("fits at the first end", full, 1_250L, OptionalLong.of(50)),
                Arguments.of("fits at the second end", full, 500L, OptionalLong.of(150)),
                Arguments.of("never fits", full, 100L, OptionalLong.empty()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("waits")
    void nextResponseFitsOnceOthersHaveEnded(
            String name, List<Growth> generations, long capacity, OptionalLong expectedMillis) {
        assertThat(MemoryForecast.millisUntilFits(generations, new Growth(200, 100), capacity, 2))
                .isEqualTo(expectedMillis);
    }

    private static boolean fits(List<Growth> admitted, Growth next, long capacity) {
        List<Growth> all = new ArrayList<>(admitted);
        all.add(next);
        return MemoryForecast.peakTokens(all) <= capacity;
    }
}
