package org.merlinwood.decision.order;

import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.ModelName;

/** An order to an engine. Orders are idempotent. */
public sealed interface EngineOrder {

    /**
     * Loads a version of a model and replaces any other loaded version.
     *
     * @param model the model
     * @param version the version to load
     * @param weights name of the weights in the weight store
     */
    record LoadModel(ModelName model, String version, String weights) implements EngineOrder {}

    /**
     * Loads an adapter on top of a model.
     *
     * @param model the model
     * @param adapter name of the adapter in the weight store
     */
    record LoadAdapter(ModelName model, String adapter) implements EngineOrder {}

    /**
     * Unloads a model.
     *
     * @param model the model
     */
    record UnloadModel(ModelName model) implements EngineOrder {}

    /**
     * Changes the role of the engine.
     *
     * @param role the new role
     */
    record ChangeRole(InstanceRole role) implements EngineOrder {}
}
