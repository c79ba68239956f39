package org.merlinwood.replay.policy;

/** Prompt tokens that were computed for one send, and whether a token was generated from them. */
public final class PrefillUse {

    private final long computedTokens;
    private boolean generatedFrom;

    PrefillUse(long computedTokens) {
        this.computedTokens = computedTokens;
    }

    /**
     * Returns the size of the prefill.
     *
     * @return computed prompt tokens
     */
    public long computedTokens() {
        return computedTokens;
    }

    /**
     * Tells whether the prefill led to a token.
     *
     * @return true if it did
     */
    public boolean isGeneratedFrom() {
        return generatedFrom;
    }

    void markGeneratedFrom() {
        generatedFrom = true;
    }
}
