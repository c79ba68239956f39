package org.merlinwood.gateway.request;

import java.util.List;

/**
 * What a model request asks of an engine.
 *
 * @param model name of the model
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens largest length of the answer in tokens
 * @param parts the parts of the prompt in order; may be empty
 */
public record Prompt(String model, int promptTokens, int outputTokens, List<PromptPart> parts) {

    /** Copies the parts. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the memory that the request needs at its end.
     *
     * @return tokens of prompt and answer together
     */
    public int totalTokens() {
        return promptTokens + outputTokens;
    }
}
