package org.merlinwood.replay.policy;

/** A prefill that was computed for an attempt, and whether a token was generated from it. Not thread-safe. */
public final class PrefillUse {

    private final long computedTokens;
    private boolean producedToken;

    PrefillUse(long computedTokens) {
        this.computedTokens = computedTokens;
    }

    /**
     * Returns the number of prompt tokens that were computed.
     *
     * @return number of tokens, without cached ones
     */
    public long computedTokens() {
        return computedTokens;
    }

    /**
     * Returns whether at least one token was generated from the prefill.
     *
     * @return true if a token was generated
     */
    public boolean hasProducedToken() {
        return producedToken;
    }

    void markProducedToken() {
        producedToken = true;
    }
}
