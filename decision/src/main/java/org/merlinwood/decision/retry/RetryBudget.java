package org.merlinwood.decision.retry;

/**
 * Bounds repeated attempts to a percentage of first attempts, so that a fault does not multiply the load.
 *
 * <p>Each first attempt earns a part of a token, each repeated attempt spends a whole one. Unused tokens are kept up to
 * {@value #MAXIMUM_TOKENS}, so that a quiet hour does not pay for a storm. Not thread-safe: used by the entry's control
 * thread only.
 */
public final class RetryBudget {

    /** Tokens kept at most. */
    public static final int MAXIMUM_TOKENS = 10;

    private static final double PERCENT = 100;

    private double earned;
    private double tokens = MAXIMUM_TOKENS;

    /**
     * Creates a full budget.
     *
     * @param percent repeated attempts per hundred first attempts, not negative
     */
    public RetryBudget(int percent) {
        setPercent(percent);
    }

    /**
     * Changes the percentage, for new rules. Tokens are kept.
     *
     * @param percent repeated attempts per hundred first attempts, not negative
     */
    public void setPercent(int percent) {
        if (percent < 0) {
            throw new IllegalArgumentException("a percentage is not negative");
        }
        earned = percent / PERCENT;
    }

    /** Notes a first attempt. */
    public void firstAttempt() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + earned);
    }

    /**
     * Spends a token on a repeated attempt, if there is one.
     *
     * @return true if the attempt may be made
     */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns the tokens left, for the state dump.
     *
     * @return tokens, not negative
     */
    public double tokens() {
        return tokens;
    }
}
