package org.merlinwood.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Retry budget and retry-after times. */
final class RetryTest {

    @ParameterizedTest
    @CsvSource({"0,10", "10,110", "20,210", "100,1010"})
    void allowsThePercentagePlusTheInitialTokens(int percent, int expected) {
        RetryBudget budget = new RetryBudget(percent);
        int retries = 0;
        for (int attempt = 0; attempt < 1_000; attempt++) {
            retries += budget.tryRetry() ? 1 : 0;
            budget.firstAttempt();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isBetween(expected - 1, expected + 1);
    }

    @Test
    void capsTheTokens() {
        RetryBudget budget = new RetryBudget(100);
        for (int attempt = 0; attempt < 1_000; attempt++) {
            budget.firstAttempt();
        }
        assertThat(budget.tokens()).isEqualTo(RetryBudget.MAXIMUM_TOKENS);
    }

    @Test
    void rejectsANegativePercentage() {
        assertThatThrownBy(() -> new RetryBudget(-1)).isInstanceOf(IllegalArgumentException.class);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 100, 1_000, 10_000, 10_000_000})
    void randomizesTheRetryDelay(long expectedMillis) {
        RetryDelay delay = new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        Set<Long> delays = new HashSet<>();
        for (int number = 0; number < 1_000; number++) {
            long millis = delay.retryAfterMillis(expectedMillis, number % 10);
            assertThat(millis).isBetween(RetryDelay.MINIMUM_MILLIS, RetryDelay.MAXIMUM_MILLIS);
            assertThat(millis).isGreaterThanOrEqualTo(Math.min(expectedMillis, 12_000));
            delays.add(millis);
        }
        assertThat(delays.size()).isGreaterThan(100);
    }

    @Test
    void returnsTheSameDelaysForTheSameSeed() {
        RetryDelay one = new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(7));
        RetryDelay other = new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(7));
        assertThat(one.retryAfterMillis(1_000, 0)).isEqualTo(other.retryAfterMillis(1_000, 0));
    }
}
