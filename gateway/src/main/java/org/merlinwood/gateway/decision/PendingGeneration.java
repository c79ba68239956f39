package org.merlinwood.gateway.decision;

import java.util.Optional;
import org.merlinwood.gateway.request.Prompt;

/**
 * A response, or the rest of one, for which an instance is looked for. Immutable.
 *
 * @param prompt the request
 * @param generatedTokens length of what the caller already has of the response, in tokens; the instance keeps it in its
 *     memory like the prompt
 * @param version software version that the instance must run; empty for any version
 */
public record PendingGeneration(Prompt prompt, int generatedTokens, Optional<String> version) {

    /**
     * Returns a whole response, which may begin at any version.
     *
     * @param prompt the request
     * @return the response before its first event
     */
    public static PendingGeneration of(Prompt prompt) {
        return new PendingGeneration(prompt, 0, Optional.empty());
    }

    /**
     * Returns the number of tokens that an instance has to compute before it generates.
     *
     * @return prompt and generated tokens together
     */
    public int startTokens() {
        return prompt.promptTokens() + generatedTokens;
    }

    MemoryForecast.Growth memoryGrowth() {
        return new MemoryForecast.Growth(
                startTokens(), ResponseLengthEstimate.remainingTokens(prompt, generatedTokens));
    }
}
