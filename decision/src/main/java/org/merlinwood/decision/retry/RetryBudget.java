package org.merlinwood.decision.retry;

/**
 * Limits retries to a percentage of first attempts, so that a fault does not multiply the load.
 *
 * <p>Each first attempt adds a fraction of a token, each retry consumes one token. At most {@value #MAXIMUM_TOKENS}
 * unused tokens are kept, so that a long period without retries does not permit a retry storm. Not thread-safe: used by
 * the entry's control thread only.
 */
public final class RetryBudget {

    /** Maximum number of unused tokens. */
    public static final int MAXIMUM_TOKENS = 10;

    private static final double PERCENT = 100;

    private double tokensPerFirstAttempt;
    private double tokens = MAXIMUM_TOKENS;

    /**
     * Creates a full budget.
     *
     * @param percent retries per hundred first attempts, not negative
     */
    public RetryBudget(int percent) {
        setPercent(percent);
    }

    /**
     * Changes the percentage when new rules become active. Unused tokens are kept.
     *
     * @param percent retries per hundred first attempts, not negative
     */
    public void setPercent(int percent) {
        if (percent < 0) {
            throw new IllegalArgumentException("percent must not be negative");
        }
        tokensPerFirstAttempt = percent / PERCENT;
    }

    /** Records a first attempt. */
    public void firstAttempt() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + tokensPerFirstAttempt);
    }

    /**
     * Consumes a token for a retry, if one is available.
     *
     * @return true if the retry may be sent
     */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns the available tokens, for the state dump.
     *
     * @return number of tokens, not negative
     */
    public double tokens() {
        return tokens;
    }
}
