package org.merlinwood.decision.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.time.ManualMillisClock;

final class OrderPlannerTest {

    private static final ModelName SUMMARY = new ModelName("summary");
    private static final ModelName OLD = new ModelName("old");
    private static final Instance ROW = new Instance(
            new InstanceName("runner-1"),
            NetworkAddress.parse("127.0.0.1:7001"),
            new FailureDomain("lalitpur"),
            "kathmandu",
            new ServiceName("reports"),
            InstanceRole.DECODE,
            List.of(SUMMARY),
            20,
            0,
            OrderFencing.CHECKED,
            InstanceState.ACTIVE);
    private static final Inventory INVENTORY =
            Inventory.of(1, List.of(ROW), List.of(new Model(SUMMARY, "2", "summary-2", List.of("valley"), 8_000, 256)));
    private static final EngineState.LoadedModel LOADED = new EngineState.LoadedModel(SUMMARY, "2", List.of("valley"));

    @Test
    void returnsEmptyWhenTheEngineMatchesTheInventory() {
        assertThat(next(InstanceRole.DECODE, LOADED)).isEmpty();
    }

    @Test
    void ordersRoleThenModelThenAdapterThenUnload() {
        assertThat(next(InstanceRole.PREFILL)).contains(new EngineOrder.ChangeRole(InstanceRole.DECODE));
        EngineState.LoadedModel older = new EngineState.LoadedModel(SUMMARY, "1", List.of());
        EngineState.LoadedModel bare = new EngineState.LoadedModel(SUMMARY, "2", List.of());
        EngineState.LoadedModel other = new EngineState.LoadedModel(OLD, "1", List.of());
        assertThat(next(InstanceRole.DECODE, older, other))
                .contains(new EngineOrder.LoadModel(SUMMARY, "2", "summary-2"));
        assertThat(next(InstanceRole.DECODE, bare, other)).contains(new EngineOrder.LoadAdapter(SUMMARY, "valley"));
        assertThat(next(InstanceRole.DECODE, LOADED, other)).contains(new EngineOrder.UnloadModel(OLD));
    }

    @Test
    void keepsRoleAndModelsWhileInUse() {
        EngineState.LoadedModel other = new EngineState.LoadedModel(OLD, "1", List.of());
        EngineState engine = new EngineState(InstanceRole.PREFILL, 0, List.of(LOADED, other));
        assertThat(OrderPlanner.next(INVENTORY, ROW, engine, Set.of(OLD))).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5, 1_000_000})
    void issuesFencingNumbersAboveTheEnginesHighest(long highest) {
        FencingNumbers numbers = new FencingNumbers(1_000);
        long first = numbers.next(highest);
        assertThat(first).isGreaterThan(Math.max(highest, 1_000));
        assertThat(numbers.next(highest)).isGreaterThan(first);
    }

    @Test
    void waitsAtLeastForTheRetryAfterTime() {
        ManualMillisClock clock = new ManualMillisClock(0);
        OrderPacing pacing = new OrderPacing(clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
        clock.advanceMillis(500);
        assertThat(pacing.mayOrder()).isTrue();
        pacing.recordRefused(2_000);
        clock.advanceMillis(1_999);
        assertThat(pacing.mayOrder()).isFalse();
        clock.advanceMillis(1_000);
        assertThat(pacing.mayOrder()).isTrue();
    }

    private static Optional<EngineOrder> next(InstanceRole role, EngineState.LoadedModel... models) {
        return OrderPlanner.next(INVENTORY, ROW, new EngineState(role, 0, List.of(models)), Set.of());
    }
}
