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
    private static final double RETRY_RATIO = 0.2;
    private static final double FIXED_RETRIES = 56;
    private static final int ENTRY_COUNT = 8;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final List<Long> retries = new ArrayList<>();
    private final List<Long> requests = new ArrayList<>();

    /**
     * In a burst of failures, entries that cannot reach each other all use their full allowance. The limit over all
     * entries must still hold in every window.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20, 200})
    void retriesOfAllEntriesStayWithinLimitInEveryWindow(int requestsPerSecond) {
        useAllowancesOfNewEntries(requestsPerSecond, 40);
        assertLimitHoldsInEveryWindow(40_000);
    }

    /**
     * All entries are killed under load just after they used their allowance, and start again. What they sent before
     * and after the restart must stay within the limit of one window.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20})
    void retriesOfEntriesThatRestartTogetherStayWithinLimitInEveryWindow(int requestsPerSecond) {
        for (int life = 0; life < 3; life++) {
            useAllowancesOfNewEntries(requestsPerSecond, 15);
        }
        assertLimitHoldsInEveryWindow(45_000);
    }

    @Test
    void recordedRetryCountsAlthoughNoneWasLeft() {
        RetryAllowance entry = newEntryAfterOneWindow();
        while (entry.tryAcquire("service")) {}
        assertThat(entry.isOverdrawn("service")).isFalse();
        entry.recordRetry("service");
        assertThat(entry.isOverdrawn("service")).isTrue();
        for (int index = 0; index < 5; index++) {
            entry.recordRequest("service");
        }
        assertThat(entry.isOverdrawn("service")).isFalse();
        assertThat(entry.tryAcquire("service")).isFalse();
    }

    @Test
    void retriesAreAvailableAgainAfterWindowHasPassed() {
        RetryAllowance entry = newEntryAfterOneWindow();
        assertThat(entry.tryAcquire("service")).isTrue();
        while (entry.tryAcquire("service")) {}
        assertThat(entry.tryAcquire("service")).isFalse();
        clock.advanceMillis(WINDOW_MILLIS + 1);
        assertThat(entry.tryAcquire("service")).isTrue();
    }

    private RetryAllowance newEntryAfterOneWindow() {
        RetryAllowance entry = new RetryAllowance(clock, WINDOW_MILLIS, RETRY_RATIO, FIXED_RETRIES, () -> ENTRY_COUNT);
        clock.advanceMillis(WINDOW_MILLIS);
        return entry;
    }

    /** Starts all entries, and has each use its whole allowance in each second. */
    private void useAllowancesOfNewEntries(int requestsPerSecond, int seconds) {
        List<RetryAllowance> entries = new ArrayList<>();
        for (int index = 0; index < ENTRY_COUNT; index++) {
            entries.add(new RetryAllowance(clock, WINDOW_MILLIS, RETRY_RATIO, FIXED_RETRIES, () -> ENTRY_COUNT));
        }
        for (int second = 0; second < seconds; second++) {
            for (RetryAllowance entry : entries) {
                for (int index = 0; index < requestsPerSecond; index++) {
                    entry.recordRequest("service");
                    requests.add(clock.monotonicMillis());
                }
                while (entry.tryAcquire("service")) {
                    retries.add(clock.monotonicMillis());
                }
            }
            clock.advanceMillis(1_000);
        }
    }

    private void assertLimitHoldsInEveryWindow(long untilMillis) {
        for (long end = 0; end < untilMillis; end += 1_000) {
            long allowed = Math.round(RETRY_RATIO * within(requests, end) + FIXED_RETRIES);
            assertThat(within(retries, end)).isLessThanOrEqualTo(allowed);
        }
    }

    private static long within(List<Long> times, long end) {
        return times.stream()
                .filter(time -> time > end - WINDOW_MILLIS && time <= end)
                .count();
    }
}
