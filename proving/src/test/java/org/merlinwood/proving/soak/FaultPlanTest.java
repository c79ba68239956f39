package org.merlinwood.proving.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

final class FaultPlanTest {

    private static final long LENGTH_MILLIS = 15_000;

    @Test
    void sameSeedGivesSamePlan() {
        assertThat(plan(7)).isEqualTo(plan(7)).isNotEqualTo(plan(8));
    }

    @Test
    void plansContainEveryKindAndOverlappingFaults() {
        Set<FaultKind> seen = EnumSet.noneOf(FaultKind.class);
        LongStream.rangeClosed(1, 50).forEach(seed -> plan(seed).faults().forEach(fault -> seen.add(fault.kind())));
        assertThat(seen).containsExactlyInAnyOrder(FaultKind.values());
        assertThat(LongStream.rangeClosed(1, 50).filter(seed -> overlaps(plan(seed))))
                .hasSizeGreaterThan(40);
    }

    @Test
    void faultsBeginAfterWarmUpAndEndWithinRun() {
        assertThat(plan(3).faults()).allSatisfy(fault -> {
            assertThat(fault.atMillis()).isGreaterThanOrEqualTo(FaultPlan.WARM_UP_MILLIS);
            assertThat(fault.endMillis()).isLessThanOrEqualTo(LENGTH_MILLIS);
        });
    }

    private static FaultPlan plan(long seed) {
        return FaultPlan.of(seed, LENGTH_MILLIS, 3, 8);
    }

    private static boolean overlaps(FaultPlan plan) {
        return plan.faults().stream()
                .anyMatch(one -> plan.faults().stream()
                        .anyMatch(other -> !other.equals(one)
                                && other.atMillis() >= one.atMillis()
                                && other.atMillis() < one.endMillis()));
    }
}
