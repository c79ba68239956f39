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
 * Determines the next order that brings the state of an engine closer to the inventory. Stateless and thread-safe.
 *
 * <p>Compares states and keeps no record of orders. If an order was lost, repeated or delayed, the next comparison
 * finds the remaining difference. The plan is therefore also correct for engines that ignore fencing numbers.
 */
public final class OrderPlanner {

    private OrderPlanner() {}

    /**
     * Returns the next order.
     *
     * @param inventory the active inventory
     * @param row inventory row of the instance
     * @param engine state that its engine reports
     * @param inUse models used by running requests; these are not unloaded, and the role is not changed while there are
     *     any
     * @return the order, or empty if the engine matches the inventory or the remaining orders must wait
     */
    public static Optional<EngineOrder> next(
            Inventory inventory, Instance row, EngineState engine, Set<ModelName> inUse) {
        List<Model> requiredModels = row.models().stream()
                .flatMap(name -> inventory.model(name).stream())
                .toList();
        return Stream.of(
                        changeRole(row, engine, inUse),
                        requiredModels.stream().flatMap(model -> load(model, engine).stream()),
                        requiredModels.stream().flatMap(model -> loadAdapter(model, engine)),
                        unload(row, engine, inUse))
                .flatMap(orders -> orders)
                .findFirst();
    }

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
