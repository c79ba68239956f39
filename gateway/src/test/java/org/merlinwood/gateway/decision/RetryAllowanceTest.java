package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.core.time.ManualMillisClock;

final class RetryAllowanceTest {

    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.2;
    private static final double FIXED = 56;
    private static final int ENTRIES = 8;

    private final ManualMillisClock clock = new ManualMillisClock(0);

    /** A storm of failures at entries that don't hear of each other: the fleet's bound holds in every window. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20, 200})
    void allEntriesTogetherStayWithinTheBoundInEveryWindow(int requestsPerSecond) {
        List<RetryAllowance> entries = new ArrayList<>();
        for (int index = 0; index < ENTRIES; index++) {
            entries.add(new RetryAllowance(clock, WINDOW_MILLIS, RATIO, FIXED, () -> ENTRIES));
        }
        List<Long> repeats = new ArrayList<>();
        List<Long> requests = new ArrayList<>();
        for (int second = 0; second < 40; second++) {
            for (RetryAllowance entry : entries) {
                for (int index = 0; index < requestsPerSecond; index++) {
                    entry.recordRequest("service");
                    requests.add(clock.monotonicMillis());
                }
                while (entry.tryAcquire("service")) {
                    repeats.add(clock.monotonicMillis());
                }
            }
            clock.advanceMillis(1_000);
        }
        for (long end = 0; end < 40_000; end += 1_000) {
            long allowed = Math.round(RATIO * within(requests, end) + FIXED);
            assertThat(within(repeats, end)).isLessThanOrEqualTo(allowed);
        }
    }

    @Test
    void repeatsComeBackWithTheWindow() {
        RetryAllowance entry = new RetryAllowance(clock, WINDOW_MILLIS, RATIO, FIXED, () -> ENTRIES);
        while (entry.tryAcquire("service")) {}
        assertThat(entry.tryAcquire("service")).isFalse();
        clock.advanceMillis(WINDOW_MILLIS + 1);
        assertThat(entry.tryAcquire("service")).isTrue();
    }

    private static long within(List<Long> times, long end) {
        return times.stream()
                .filter(time -> time > end - WINDOW_MILLIS && time <= end)
                .count();
    }
}
