package org.merlinwood.decision.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;

final class KeyHomeTest {

    private static final ServiceName SERVICE = new ServiceName("ledger");
    private static final int KEYS = 300;

    @Test
    void doesNotDependOnTheOrderOfTheRows() {
        List<Instance> rows = rows(5, InstanceState.ACTIVE);
        Inventory reversed = Inventory.of(1, new ArrayList<>(rows).reversed(), List.of());
        keys().forEach(key -> assertThat(KeyHome.of(key, Inventory.of(1, rows, List.of()), SERVICE))
                .isEqualTo(KeyHome.of(key, reversed, SERVICE)));
    }

    @Test
    void aNewInstanceTakesKeysOnlyForItself() {
        Inventory before = Inventory.of(1, rows(5, InstanceState.ACTIVE), List.of());
        Inventory after = Inventory.of(2, rows(6, InstanceState.ACTIVE), List.of());
        List<IdempotencyKey> moved = keys().stream()
                .filter(key -> !KeyHome.of(key, before, SERVICE).equals(KeyHome.of(key, after, SERVICE)))
                .toList();
        assertThat(moved).hasSizeBetween(KEYS / 12, KEYS / 3);
        assertThat(moved)
                .allMatch(key ->
                        KeyHome.of(key, after, SERVICE).orElseThrow().name().equals(new InstanceName("ledger-6")));
    }

    @ParameterizedTest
    @EnumSource(InstanceState.class)
    void onlyRetiredInstancesLoseTheirKeys(InstanceState state) {
        List<Instance> rows = new ArrayList<>(rows(2, InstanceState.ACTIVE));
        rows.set(0, row(1, state));
        Inventory inventory = Inventory.of(1, rows, List.of());
        boolean anyAtFirst = keys().stream()
                .anyMatch(
                        key -> KeyHome.of(key, inventory, SERVICE).orElseThrow().equals(rows.getFirst()));
        assertThat(anyAtFirst).isEqualTo(state != InstanceState.RETIRED);
    }

    @ParameterizedTest
    @EnumSource(InstanceState.class)
    void keyHomesAgreesWithKeyHome(InstanceState state) {
        List<Instance> rows = new ArrayList<>(rows(5, InstanceState.ACTIVE));
        rows.set(0, row(1, state));
        Inventory inventory = Inventory.of(1, rows, List.of());
        KeyHomes homes = KeyHomes.of(inventory);
        assertThat(keys())
                .allSatisfy(key ->
                        assertThat(homes.of(key, SERVICE)).isPresent().isEqualTo(KeyHome.of(key, inventory, SERVICE)));
        assertThat(homes.of(new IdempotencyKey("a"), new ServiceName("other"))).isEmpty();
    }

    @Test
    void aServiceWithoutInstancesHasNoHome() {
        Inventory inventory = Inventory.of(1, rows(2, InstanceState.RETIRED), List.of());
        assertThat(KeyHome.of(new IdempotencyKey("a"), inventory, SERVICE)).isEmpty();
    }

    private static List<IdempotencyKey> keys() {
        return IntStream.range(0, KEYS)
                .mapToObj(number -> new IdempotencyKey("booking-" + number))
                .toList();
    }

    private static List<Instance> rows(int count, InstanceState state) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(number -> row(number, state))
                .toList();
    }

    private static Instance row(int number, InstanceState state) {
        return new Instance(
                new InstanceName("ledger-" + number),
                NetworkAddress.parse("127.0.0.1:" + (7000 + number)),
                new FailureDomain("lalitpur"),
                "kathmandu",
                SERVICE,
                InstanceRole.PLAIN,
                List.of(),
                0,
                4,
                OrderFencing.IGNORED,
                state);
    }
}
