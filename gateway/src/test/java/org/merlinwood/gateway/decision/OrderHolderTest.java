package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;

final class OrderHolderTest {

    private static final long SETTLED_MILLIS = 5_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private OrderHolder first;
    private OrderHolder second;

    @BeforeEach
    void twoEntries() {
        first = new OrderHolder(clock, "10.1.0.1:9", 0x010001);
        second = new OrderHolder(clock, "10.2.0.1:9", 0x020001);
    }

    @Test
    void onlyTheLowestEntryOrdersAndOnlyOnceItIsSettled() {
        assertThat(first.mayOrder(List.of("10.2.0.1:9"), 1, 7)).isFalse();
        clock.advanceMillis(SETTLED_MILLIS);
        assertThat(first.mayOrder(List.of("10.2.0.1:9"), 1, 7)).isTrue();
        assertThat(second.mayOrder(List.of("10.1.0.1:9"), 1, 7)).isFalse();
    }

    @Test
    void theSmallerSideOfAPartitionGivesNoOrders() {
        first.mayOrder(List.of("10.2.0.1:9"), 4, 7);
        clock.advanceMillis(SETTLED_MILLIS);
        assertThat(first.mayOrder(List.of("10.2.0.1:9"), 4, 7)).isFalse();
    }

    @Test
    void theNextHolderHasAHigherTokenAtTheSameRevision() {
        first.mayOrder(List.of(), 0, 7);
        second.mayOrder(List.of(), 0, 7);
        clock.advanceMillis(SETTLED_MILLIS);
        assertThat(first.mayOrder(List.of(), 0, 7)).isTrue();
        second.heard(first.fence());
        assertThat(second.mayOrder(List.of(), 0, 7)).isTrue();
        assertThat(second.fence()).isGreaterThan(first.fence());
    }

    @Test
    void twoEntriesNeverShareAToken() {
        first.mayOrder(List.of(), 0, 7);
        second.mayOrder(List.of(), 0, 7);
        clock.advanceMillis(SETTLED_MILLIS);
        first.mayOrder(List.of(), 0, 7);
        second.mayOrder(List.of(), 0, 7);
        assertThat(first.fence()).isNotEqualTo(second.fence());
    }

    @Test
    void aRefusedHolderGivesNoMoreOrders() {
        first.mayOrder(List.of(), 0, 7);
        clock.advanceMillis(SETTLED_MILLIS);
        first.refused();
        assertThat(first.mayOrder(List.of(), 0, 8)).isFalse();
    }
}
