package org.merlinwood.decision.fairness;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.retry.RetryDelay;

/** Shares between callers. */
final class CallerSharesTest {

    private static final CallerName GREEDY = new CallerName("greedy");
    private static final CallerName MODEST = new CallerName("modest");
    private static final CallerClass ONE_SHARE = callerClass(1, 100);

    private final CallerShares shares = new CallerShares(new RetryDelay(RandomSource.XO_RO_SHI_RO_128_PP.create(1)));

    @Test
    void boundsTheOpenRequestsOfACaller() {
        CallerClass two = callerClass(1, 2);
        assertThat(shares.tryAcquire(GREEDY, two, false).isRight()).isTrue();
        assertThat(shares.tryAcquire(GREEDY, two, false).isRight()).isTrue();
        Failure refused = shares.tryAcquire(GREEDY, two, false).getLeft();
        assertThat(refused.code()).isEqualTo(ResultCode.CALLER_LIMIT);
        assertThat(refused.retryAfterMillis()).isPositive();
        assertThat(shares.tryAcquire(MODEST, two, false).isRight()).isTrue();
        shares.release(GREEDY);
        assertThat(shares.tryAcquire(GREEDY, two, false).isRight()).isTrue();
    }

    @Test
    void allowsACallerEverythingWhileNothingIsShort() {
        assertThat(open(GREEDY, ONE_SHARE, false, 50)).isEqualTo(50);
    }

    @Test
    void holdsACallerToItsShareWhileCapacityIsShort() {
        assertThat(open(GREEDY, ONE_SHARE, false, 20)).isEqualTo(20);
        assertThat(open(MODEST, ONE_SHARE, true, 10)).isEqualTo(10);
        assertThat(open(GREEDY, ONE_SHARE, true, 1)).isZero();
    }

    @Test
    void givesMoreToAClassWithALargerShare() {
        CallerClass threeShares = callerClass(3, 100);
        open(MODEST, ONE_SHARE, false, 10);
        assertThat(open(GREEDY, threeShares, true, 20)).isEqualTo(20);
    }

    @Test
    void keepsNoStateOfCallersWithoutOpenRequests() {
        open(GREEDY, ONE_SHARE, false, 3);
        for (int number = 0; number < 3; number++) {
            shares.release(GREEDY);
        }
        shares.release(GREEDY);
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
