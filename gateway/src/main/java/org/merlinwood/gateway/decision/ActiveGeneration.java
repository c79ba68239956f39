package org.merlinwood.gateway.decision;

import java.util.Optional;
import org.merlinwood.gateway.request.Prompt;

/** A response that an instance is generating for this entry, and its length so far. Confined to the event loop. */
public final class ActiveGeneration {

    private final String instance;
    private final Prompt prompt;
    private int generatedTokens;

    ActiveGeneration(String instance, PendingGeneration pending) {
        this.instance = instance;
        this.prompt = pending.prompt();
        this.generatedTokens = pending.generatedTokens();
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
     * Returns the length of the response so far, with what other instances generated of it.
     *
     * @return number of tokens
     */
    public int generatedTokens() {
        return generatedTokens;
    }

    MemoryForecast.Growth memoryGrowth() {
        return new PendingGeneration(prompt, generatedTokens, Optional.empty()).memoryGrowth();
    }
}
