package org.merlinwood.configuration.inventory;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;

/**
 * A whole inventory that was checked. Immutable and thread-safe.
 *
 * @param revision the revision given by the configuration service
 * @param instances all rows, in the order of the document
 * @param models the models
 */
public record Inventory(long revision, Map<InstanceName, Instance> instances, Map<ModelName, Model> models) {

    /** Copies the tables, keeping their order. */
    public Inventory {
        instances = Collections.unmodifiableMap(new LinkedHashMap<>(instances));
        models = Collections.unmodifiableMap(new LinkedHashMap<>(models));
    }

    /**
     * Creates an inventory from its rows.
     *
     * @param revision the revision
     * @param instances rows with unique names
     * @param models rows with unique names
     * @return the inventory
     */
    public static Inventory of(long revision, List<Instance> instances, List<Model> models) {
        Map<InstanceName, Instance> byName = new LinkedHashMap<>();
        instances.forEach(instance -> byName.put(instance.name(), instance));
        Map<ModelName, Model> modelsByName = new LinkedHashMap<>();
        models.forEach(model -> modelsByName.put(model.name(), model));
        return new Inventory(revision, byName, modelsByName);
    }

    /**
     * Finds a row.
     *
     * @param name the name of the instance
     * @return the row, or empty if there is none
     */
    public Optional<Instance> instance(InstanceName name) {
        return Optional.ofNullable(instances.get(name));
    }

    /**
     * Finds a model.
     *
     * @param name the name that callers give
     * @return the row, or empty if there is none
     */
    public Optional<Model> model(ModelName name) {
        return Optional.ofNullable(models.get(name));
    }
}
