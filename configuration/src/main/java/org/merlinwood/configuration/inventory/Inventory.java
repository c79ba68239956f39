package org.merlinwood.configuration.inventory;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;

/**
 * A validated inventory. Immutable and thread-safe.
 *
 * @param revision revision assigned by the configuration service
 * @param instances all instances by name, in document order
 * @param models all models by name, in document order
 */
public record Inventory(long revision, Map<InstanceName, Instance> instances, Map<ModelName, Model> models) {

    /** Copies the maps and preserves their iteration order. */
    public Inventory {
        instances = Collections.unmodifiableMap(new LinkedHashMap<>(instances));
        models = Collections.unmodifiableMap(new LinkedHashMap<>(models));
    }

    /**
     * Creates an inventory from its rows.
     *
     * @param revision the revision
     * @param instances instances with unique names
     * @param models models with unique names
     * @return the inventory
     */
    public static Inventory of(long revision, List<Instance> instances, List<Model> models) {
        Map<InstanceName, Instance> instancesByName = new LinkedHashMap<>();
        instances.forEach(instance -> instancesByName.put(instance.name(), instance));
        Map<ModelName, Model> modelsByName = new LinkedHashMap<>();
        models.forEach(model -> modelsByName.put(model.name(), model));
        return new Inventory(revision, instancesByName, modelsByName);
    }

    /**
     * Finds an instance.
     *
     * @param name name of the instance
     * @return the instance, or empty if the inventory does not contain it
     */
    public Optional<Instance> instance(InstanceName name) {
        return Optional.ofNullable(instances.get(name));
    }

    /**
     * Finds a model.
     *
     * @param name name of the model, as callers send it
     * @return the model, or empty if the inventory does not contain it
     */
    public Optional<Model> model(ModelName name) {
        return Optional.ofNullable(models.get(name));
    }
}
