package org.merlinwood.entry.dispatch;

import java.util.List;

/**
 * A model's whole answer. Immutable.
 *
 * @param tokens all tokens
 * @param finishReason why the engine ended, as it said
 */
public record ModelResponse(List<String> tokens, String finishReason) {

    /** Copies the list. */
    public ModelResponse {
        tokens = List.copyOf(tokens);
    }
}
