package org.merlinwood.configuration.inventory;

import java.util.List;
import org.merlinwood.core.identity.ModelName;

/**
 * A model, one row of the {@code models} table. Immutable.
 *
 * @param name name of the model, as callers send it
 * @param version version of the weights
 * @param weights name of the weights in the weight store
 * @param adapters names of the adapters loaded in addition to the weights
 * @param maximumTokens maximum length of prompt and response together, in tokens
 * @param cacheBytesPerToken size of the KV cache of one token, in bytes
 */
public record Model(
        ModelName name,
        String version,
        String weights,
        List<String> adapters,
        int maximumTokens,
        long cacheBytesPerToken) {

    /** Copies the list. */
    public Model {
        adapters = List.copyOf(adapters);
    }
}
