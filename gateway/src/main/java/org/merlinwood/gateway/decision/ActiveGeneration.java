package org.merlinwood.gateway.decision;

import org.merlinwood.gateway.request.Prompt;

/** One answer that an instance generates for this entry, and how it grows. Used by the event loop alone. */
public final class ActiveGeneration {

    private final String instance;
    private final Prompt prompt;
    private int generatedTokens;

    ActiveGeneration(String instance, Prompt prompt) {
        this.instance = instance;
        this.prompt = prompt;
    }

    /**
     * Returns where it is generated.
     *
     * @return identifier of the instance
     */
    public String instance() {
        return instance;
    }

    /**
     * Notes that the answer grew.
     *
     * @param tokens tokens that were added
     */
    public void addTokens(int tokens) {
        generatedTokens += tokens;
    }

    /**
     * Returns the length of the answer so far.
     *
     * @return tokens
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
