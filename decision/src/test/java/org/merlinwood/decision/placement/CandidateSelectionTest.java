package org.merlinwood.decision.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.decision.placement.PoolInventories.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;

/** Selection of the bounded set of candidates that one entry uses. */
final class CandidateSelectionTest {

    private static final int DOMAINS = 21;

    @ParameterizedTest
    @CsvSource({"1,1", "10,10", "48,48", "49,48", "3000,48"})
    void selectsAllInstancesUpToTheMaximum(int instances, int expected) {
        Inventory inventory = PoolInventories.of(InstanceRole.DECODE, instances, DOMAINS);
        assertThat(pool(inventory, InstanceRole.DECODE).candidates())
                .hasSize(expected)
                .doesNotHaveDuplicates();
    }

    @Test
    void selectsFromEveryFailureDomain() {
        Inventory inventory = PoolInventories.of(InstanceRole.DECODE, 3_000, DOMAINS);
        Set<FailureDomain> reached = pool(inventory, InstanceRole.DECODE).candidates().stream()
                .map(name -> inventory.instance(name).orElseThrow().failureDomain())
                .collect(Collectors.toSet());
        assertThat(reached).hasSize(DOMAINS);
    }

    @Test
    void prefersTheOwnRegion() {
        Inventory inventory = PoolInventories.of(InstanceRole.DECODE, 3_000, DOMAINS);
        long near = pool(inventory, InstanceRole.DECODE).candidates().stream()
                .filter(name -> inventory.instance(name).orElseThrow().region().equals("region-0"))
                .count();
        assertThat(near).isBetween(10L, 40L);
    }

    @Test
    void replacesOneCandidateWhenAnInstanceIsRemoved() {
        Inventory before = PoolInventories.of(InstanceRole.DECODE, 3_000, DOMAINS);
        UpstreamPool pool = pool(before, InstanceRole.DECODE);
        InstanceName removed = pool.candidates().get(30);
        Set<InstanceName> remaining = new HashSet<>(pool.candidates());
        remaining.remove(removed);
        List<InstanceName> after =
                pool.withInventory(PoolInventories.without(before, removed)).candidates();
        assertThat(after).containsAll(remaining).hasSize(UpstreamPool.MAXIMUM_CANDIDATES);
    }

    @Test
    void coversEveryInstanceAcrossEntries() {
        Inventory inventory = PoolInventories.of(InstanceRole.DECODE, 214, DOMAINS);
        Set<InstanceName> used = new HashSet<>();
        for (int entry = 0; entry < 100; entry++) {
            used.addAll(pool(inventory, InstanceRole.DECODE, new InstanceName("entry-" + entry))
                    .candidates());
        }
        assertThat(used).hasSize(214);
    }

    @Test
    void excludesInactiveInstancesAndOtherRoles() {
        Inventory inventory = Inventory.of(
                1,
                List.of(
                        PoolInventories.row(InstanceRole.DECODE, 1, 0, InstanceState.DRAINING),
                        PoolInventories.row(InstanceRole.DECODE, 2, 0, InstanceState.RETIRED),
                        PoolInventories.row(InstanceRole.PREFILL, 3, 0, InstanceState.ACTIVE),
                        PoolInventories.row(InstanceRole.DECODE, 4, 0, InstanceState.ACTIVE)),
                List.of());
        assertThat(pool(inventory, InstanceRole.DECODE).candidates()).containsExactly(new InstanceName("instance-4"));
    }
}
