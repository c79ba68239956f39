package org.merlinwood.decision.fairness;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.retry.RetryDelay;

/** Limits and shares of callers. */
final class CallerSharesTest {

    private static final CallerName HEAVY = new CallerName("greedy");
    private static final CallerName LIGHT = new CallerName("modest");
    private static final CallerClass ONE_SHARE = callerClass(1, 100);

    private final CallerShares shares = new CallerShares(new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(1)));

    @Test
    void limitsTheOpenRequestsOfACaller() {
        CallerClass two = callerClass(1, 2);
        assertThat(shares.tryAcquire(HEAVY, two, false).isRight()).isTrue();
        assertThat(shares.tryAcquire(HEAVY, two, false).isRight()).isTrue();
        Failure refused = shares.tryAcquire(HEAVY, two, false).getLeft();
        assertThat(refused.code()).isEqualTo(ResultCode.CALLER_LIMIT);
        assertThat(refused.retryAfterMillis()).isPositive();
        assertThat(shares.tryAcquire(LIGHT, two, false).isRight()).isTrue();
        shares.release(HEAVY);
        assertThat(shares.tryAcquire(HEAVY, two, false).isRight()).isTrue();
    }

    @Test
    void appliesNoShareWithoutContention() {
        assertThat(open(HEAVY, ONE_SHARE, false, 50)).isEqualTo(50);
    }

    @Test
    void limitsACallerToItsShareUnderContention() {
        assertThat(open(HEAVY, ONE_SHARE, false, 20)).isEqualTo(20);
        assertThat(open(LIGHT, ONE_SHARE, true, 10)).isEqualTo(10);
        assertThat(open(HEAVY, ONE_SHARE, true, 1)).isZero();
    }

    @Test
    void allowsMoreRequestsForALargerShare() {
        CallerClass threeShares = callerClass(3, 100);
        open(LIGHT, ONE_SHARE, false, 10);
        assertThat(open(HEAVY, threeShares, true, 20)).isEqualTo(20);
    }

    @Test
    void removesCallersWithoutOpenRequests() {
        open(HEAVY, ONE_SHARE, false, 3);
        for (int number = 0; number < 3; number++) {
            shares.release(HEAVY);
        }
        shares.release(HEAVY);
        assertThat(shares.activeCallers()).isZero();
    }

    private int open(CallerName caller, CallerClass callerClass, boolean contended, int times) {
        int opened = 0;
        for (int number = 0; number < times; number++) {
            opened += shares.tryAcquire(caller, callerClass, contended).isRight() ? 1 : 0;
        }
        return opened;
    }

    private static CallerClass callerClass(double share, int concurrentRequests) {
        return new CallerClass("class", 1, 1_600, 80, share, concurrentRequests);
    }
}
