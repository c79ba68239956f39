package org.merlinwood.configuration.inventory;

import java.util.List;
import org.merlinwood.core.identity.ModelName;

/**
 * One row of the table of models. Immutable.
 *
 * @param name as callers give it
 * @param version version of the weights to be loaded
 * @param weights name of the weights in the weight store
 * @param adapters names of the adapters to be loaded on top
 * @param maximumTokens prompt and answer together, in tokens
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
