package org.merlinwood.gateway.decision;

import org.merlinwood.gateway.request.Prompt;

/** A response that an instance is generating for this entry, and its length so far. Confined to the event loop. */
public final class ActiveGeneration {

    private final String instance;
    private final Prompt prompt;
    private int generatedTokens;

    ActiveGeneration(String instance, Prompt prompt) {
        this.instance = instance;
        this.prompt = prompt;
    }

    /**
     * Returns the instance that generates the response.
     *
     * @return identifier of the instance
     */
    public String instance() {
        return instance;
    }

    /**
     * Adds newly received tokens to the length of the response.
     *
     * @param tokens number of tokens
     */
    public void addTokens(int tokens) {
        generatedTokens += tokens;
    }

    /**
     * Returns the length of the response so far.
     *
     * @return number of tokens
     */
    public int generatedTokens() {
        return generatedTokens;
    }

    MemoryForecast.Growth memoryGrowth() {
        return new MemoryForecast.Growth(
                prompt.promptTokens() + generatedTokens,
                ResponseLengthEstimate.remainingTokens(prompt, generatedTokens));
    }
}
