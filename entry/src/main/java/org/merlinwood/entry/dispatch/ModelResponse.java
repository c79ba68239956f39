package org.merlinwood.entry.dispatch;

import java.util.List;

/**
 * Complete response of a model. Immutable.
 *
 * @param tokens all generated tokens, in order
 * @param finishReason finish reason reported by the engine
 */
public record ModelResponse(List<String> tokens, String finishReason) {

    /** Copies the list of tokens. */
    public ModelResponse {
        tokens = List.copyOf(tokens);
    }
}
