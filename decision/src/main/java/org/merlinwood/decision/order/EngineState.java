package org.merlinwood.decision.order;

import java.util.List;
import java.util.Optional;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.ModelName;

/**
 * The state that an engine reports. Immutable.
 *
 * @param role current role
 * @param highestFencing highest fencing number of the orders it has accepted; 0 if it keeps none
 * @param models the loaded models
 */
public record EngineState(InstanceRole role, long highestFencing, List<LoadedModel> models) {

    /** Copies the list. */
    public EngineState {
        models = List.copyOf(models);
    }

    /**
     * A loaded model. Immutable.
     *
     * @param name name of the model
     * @param version loaded version
     * @param adapters adapters loaded on top
     */
    public record LoadedModel(ModelName name, String version, List<String> adapters) {

        /** Copies the list. */
        public LoadedModel {
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * Finds a loaded model.
     *
     * @param name name of the model
     * @return the model, or empty if it is not loaded
     */
    public Optional<LoadedModel> model(ModelName name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }
}
