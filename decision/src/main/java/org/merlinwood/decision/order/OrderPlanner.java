package org.merlinwood.decision.order;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.core.identity.ModelName;

/**
 * Chooses the next order that brings an engine nearer to the inventory. Stateless, thread-safe.
 *
 * <p>It compares states and remembers no orders: whatever an order that was lost, repeated or delayed has done, the
 * next comparison finds what is still to do. So it is right also for engines that ignore fencing numbers.
 */
public final class OrderPlanner {

    private OrderPlanner() {}

    /**
     * Chooses the next order.
     *
     * @param inventory the inventory in force
     * @param row the row of the instance
     * @param engine what its engine reports
     * @param inUse models that something running uses; they are not unloaded
     * @return the order, or empty if nothing is to do or can be done now
     */
    public static Optional<EngineOrder> next(
            Inventory inventory, Instance row, EngineState engine, Set<ModelName> inUse) {
        List<Model> wanted = row.models().stream()
                .flatMap(name -> inventory.model(name).stream())
                .toList();
        return Stream.of(
                        changeRole(row, engine, inUse),
                        wanted.stream().flatMap(model -> load(model, engine).stream()),
                        wanted.stream().flatMap(model -> loadAdapter(model, engine)),
                        unload(row, engine, inUse))
                .flatMap(orders -> orders)
                .findFirst();
    }

    // ------------------------------------------------------------------ internals

    private static Stream<EngineOrder> changeRole(Instance row, EngineState engine, Set<ModelName> inUse) {
        boolean due = engine.role() != row.role() && inUse.isEmpty();
        return due ? Stream.of(new EngineOrder.ChangeRole(row.role())) : Stream.empty();
    }

    private static Optional<EngineOrder> load(Model model, EngineState engine) {
        boolean loaded = engine.model(model.name())
                .filter(found -> found.version().equals(model.version()))
                .isPresent();
        return loaded
                ? Optional.empty()
                : Optional.of(new EngineOrder.LoadModel(model.name(), model.version(), model.weights()));
    }

    private static Stream<EngineOrder> loadAdapter(Model model, EngineState engine) {
        List<String> loaded = engine.model(model.name())
                .map(EngineState.LoadedModel::adapters)
                .orElse(List.of());
        return model.adapters().stream()
                .filter(adapter -> !loaded.contains(adapter))
                .map(adapter -> new EngineOrder.LoadAdapter(model.name(), adapter));
    }

    private static Stream<EngineOrder> unload(Instance row, EngineState engine, Set<ModelName> inUse) {
        return engine.models().stream()
                .map(EngineState.LoadedModel::name)
                .filter(name -> !row.models().contains(name) && !inUse.contains(name))
                .map(EngineOrder.UnloadModel::new);
    }
}
