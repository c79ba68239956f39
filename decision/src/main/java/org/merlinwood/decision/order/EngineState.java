package org.merlinwood.decision.order;

import java.util.List;
import java.util.Optional;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.ModelName;

/**
 * What an engine reports of itself. Immutable.
 *
 * @param role its role
 * @param highestFencing the highest fencing number that it has obeyed, 0 where it keeps none
 * @param models what is loaded
 */
public record EngineState(InstanceRole role, long highestFencing, List<LoadedModel> models) {

    /** Copies the list. */
    public EngineState {
        models = List.copyOf(models);
    }

    /**
     * One loaded model.
     *
     * @param name its name
     * @param version its version
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
     * @param name its name
     * @return the model, or empty if it is not loaded
     */
    public Optional<LoadedModel> model(ModelName name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }
}
