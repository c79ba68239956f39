package org.merlinwood.gateway.request;

import java.util.List;
import java.util.OptionalInt;

/**
 * What a model request asks of an engine.
 *
 * @param model name of the model
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens largest length of the answer in tokens
 * @param lengthHint the caller's estimate of that length in tokens; right at the median, often far off
 * @param parts the parts of the prompt in order; may be empty
 */
public record Prompt(String model, int promptTokens, int outputTokens, OptionalInt lengthHint, List<PromptPart> parts) {

    /** Copies the parts. */
    public Prompt {
        parts = List.copyOf(parts);
    }
}
