package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;

final class OrderHolderTest {

    private static final long SETTLED_MILLIS = 5_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private OrderLeadership first;
    private OrderLeadership second;

    @BeforeEach
    void twoEntries() {
        first = new OrderLeadership(clock, "10.1.0.1:9", 0x010001);
        second = new OrderLeadership(clock, "10.2.0.1:9", 0x020001);
    }

    @Test
    void onlyTheLowestEntryOrdersAndOnlyOnceItIsSettled() {
        assertThat(first.mayIssueOrders(List.of("10.2.0.1:9"), 1, 7)).isFalse();
        clock.advanceMillis(SETTLED_MILLIS);
        assertThat(first.mayIssueOrders(List.of("10.2.0.1:9"), 1, 7)).isTrue();
        assertThat(second.mayIssueOrders(List.of("10.1.0.1:9"), 1, 7)).isFalse();
    }

    @Test
    void theSmallerSideOfAPartitionGivesNoOrders() {
        first.mayIssueOrders(List.of("10.2.0.1:9"), 4, 7);
        clock.advanceMillis(SETTLED_MILLIS);
        assertThat(first.mayIssueOrders(List.of("10.2.0.1:9"), 4, 7)).isFalse();
    }

    @Test
    void theNextHolderHasAHigherTokenAtTheSameRevision() {
        first.mayIssueOrders(List.of(), 0, 7);
        second.mayIssueOrders(List.of(), 0, 7);
        clock.advanceMillis(SETTLED_MILLIS);
        assertThat(first.mayIssueOrders(List.of(), 0, 7)).isTrue();
        second.recordPeerToken(first.fencingToken());
        assertThat(second.mayIssueOrders(List.of(), 0, 7)).isTrue();
        assertThat(second.fencingToken()).isGreaterThan(first.fencingToken());
    }

    @Test
    void twoEntriesNeverShareAToken() {
        first.mayIssueOrders(List.of(), 0, 7);
        second.mayIssueOrders(List.of(), 0, 7);
        clock.advanceMillis(SETTLED_MILLIS);
        first.mayIssueOrders(List.of(), 0, 7);
        second.mayIssueOrders(List.of(), 0, 7);
        assertThat(first.fencingToken()).isNotEqualTo(second.fencingToken());
    }

    @Test
    void aRefusedHolderGivesNoMoreOrders() {
        first.mayIssueOrders(List.of(), 0, 7);
        clock.advanceMillis(SETTLED_MILLIS);
        first.tokenRejected();
        assertThat(first.mayIssueOrders(List.of(), 0, 8)).isFalse();
    }
}
