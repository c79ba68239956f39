package org.merlinwood.command.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.core.identity.ModelName;

/** Describes the effects of an edit of the inventory. Not thread-safe; used for one comparison. */
public final class InventoryPlan {

    private final Inventory before;
    private final Inventory after;
    private final List<String> lines = new ArrayList<>();

    private InventoryPlan(Inventory before, Inventory after) {
        this.before = before;
        this.after = after;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Compares two versions of the inventory.
     *
     * @param before the current inventory
     * @param after the edited inventory
     * @return one line per change; empty if nothing changes
     */
    public static List<String> lines(Inventory before, Inventory after) {
        InventoryPlan plan = new InventoryPlan(before, after);
        before.instances().values().forEach(plan::addRemovedInstance);
        after.instances().values().forEach(plan::addInstance);
        plan.addModels();
        plan.addCapacity();
        plan.lines.addAll(KeyMoves.lines(before, after));
        return List.copyOf(plan.lines);
    }

    // ------------------------------------------------------------------ instances

    private void addRemovedInstance(Instance old) {
        if (after.instance(old.name()).isPresent()) {
            return;
        }
        lines.add(old.name() + " leaves: it accepts no new work and completes its current work");
        if (old.role() == InstanceRole.PLAIN && old.state() != InstanceState.RETIRED) {
            lines.add("CAUTION: " + old.name()
                    + " is not marked \"retired\"; other instances still wait for requests that it may have run,"
                    + " so keep its row and mark it, unless it has handed over its keys");
        }
    }

    private void addInstance(Instance instance) {
        Instance old = before.instance(instance.name()).orElse(null);
        if (old == null) {
            lines.add(instance.name() + " joins: " + describe(instance));
            return;
        }
        addStateChange(old, instance);
        addModelChanges(old, instance);
        RowChanges.ofRow(instance.name().value(), old, withStateAndModelsOf(old, instance))
                .forEach(lines::add);
    }

    private void addStateChange(Instance old, Instance instance) {
        if (old.state() == instance.state()) {
            return;
        }
        String name = instance.name().value();
        switch (instance.state()) {
            case ACTIVE -> lines.add(name + " accepts new work again");
            case DRAINING -> lines.add(name + " drains: it completes its current work and accepts no new work");
            case RETIRED ->
                lines.add(
                        name
                                + " is retired: it accepts no new work, and other instances no longer wait for requests that it may have run");
        }
    }

    private void addModelChanges(Instance old, Instance instance) {
        instance.models().stream()
                .filter(model -> !old.models().contains(model))
                .forEach(model -> lines.add(instance.name() + " gains the model " + model + " and loads its weights"));
        old.models().stream()
                .filter(model -> !instance.models().contains(model))
                .forEach(model -> lines.add(instance.name() + " loses the model " + model));
    }

    private static Instance withStateAndModelsOf(Instance old, Instance instance) {
        return new Instance(
                instance.name(),
                instance.address(),
                instance.failureDomain(),
                instance.region(),
                instance.service(),
                instance.role(),
                old.models(),
                instance.pieces(),
                instance.concurrency(),
                instance.orderFencing(),
                old.state());
    }

    private static String describe(Instance instance) {
        String location = " in " + instance.failureDomain() + " at " + instance.address();
        String models = instance.models().stream().map(ModelName::value).collect(Collectors.joining(", "));
        return switch (instance.role()) {
            case ENTRY -> "an entry" + location;
            case PREFILL -> "prefill for " + instance.service() + location + ", models " + models;
            case DECODE -> "decode for " + instance.service() + location + ", models " + models;
            case PLAIN -> instance.service() + location + ", " + instance.concurrency() + " calls at once";
        };
    }

    // ------------------------------------------------------------------ models and capacity

    private void addModels() {
        lines.addAll(RowChanges.ofTable(
                "model",
                List.copyOf(before.models().values()),
                List.copyOf(after.models().values()),
                model -> model.name().value()));
        for (Model model : after.models().values()) {
            boolean reloads = before.model(model.name())
                    .map(old -> needsReload(old, model))
                    .orElse(false);
            String loadingInstances = after.instances().values().stream()
                    .filter(instance -> instance.models().contains(model.name()))
                    .map(instance -> instance.name().value())
                    .collect(Collectors.joining(", "));
            if (reloads && !loadingInstances.isEmpty()) {
                lines.add("model " + model.name() + " is loaded anew by " + loadingInstances);
            }
        }
    }

    private static boolean needsReload(Model old, Model model) {
        return !old.version().equals(model.version())
                || !old.weights().equals(model.weights())
                || !old.adapters().equals(model.adapters());
    }

    private void addCapacity() {
        Map<String, Integer> oldCapacity = capacity(before);
        Map<String, Integer> newCapacity = capacity(after);
        Map<String, Integer> allPools = new TreeMap<>(oldCapacity);
        allPools.putAll(newCapacity);
        for (String pool : allPools.keySet()) {
            int oldAmount = oldCapacity.getOrDefault(pool, 0);
            int newAmount = newCapacity.getOrDefault(pool, 0);
            if (oldAmount != newAmount) {
                lines.add("in total, " + pool + ": " + oldAmount + " -> " + newAmount);
            }
        }
    }

    private static Map<String, Integer> capacity(Inventory inventory) {
        Map<String, Integer> capacity = new TreeMap<>();
        for (Instance instance : inventory.instances().values()) {
            if (instance.state() == InstanceState.ACTIVE) {
                capacity.merge(poolName(instance), capacityOf(instance), Integer::sum);
            }
        }
        return capacity;
    }

    private static String poolName(Instance instance) {
        return switch (instance.role()) {
            case ENTRY -> "entries that take work";
            case PREFILL -> "prefill pieces of " + instance.service();
            case DECODE -> "decode pieces of " + instance.service();
            case PLAIN -> "calls at once of " + instance.service();
        };
    }

    private static int capacityOf(Instance instance) {
        return switch (instance.role()) {
            case ENTRY -> 1;
            case PREFILL, DECODE -> instance.pieces();
            case PLAIN -> instance.concurrency();
        };
    }
}
