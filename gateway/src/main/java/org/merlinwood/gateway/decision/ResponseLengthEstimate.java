package org.merlinwood.gateway.decision;

import org.merlinwood.gateway.request.Prompt;

/** Estimates the remaining length of a response. Stateless. */
public final class ResponseLengthEstimate {

    /** Mean length of a response, as a fraction of the maximum length that its caller allows. */
    private static final double MEAN_LENGTH_RATIO = 0.55;

    /** Weight of the caller's length hint; the mean has the remaining weight. */
    private static final double HINT_WEIGHT = 0.5;

    /**
     * Remaining length that is assumed at least, as a fraction of the tokens that the caller still allows or of the
     * expected length, whichever is less. It takes effect as a response reaches or exceeds its expected length.
     */
    private static final double OVERDUE_RATIO = 0.5;

    private ResponseLengthEstimate() {}

    /**
     * Estimates the remaining length of a response.
     *
     * @param prompt the request; its length hint, if present, is weighed against the mean length
     * @param generatedTokens length of the response so far, in tokens
     * @return number of tokens, at least 0
     */
    public static int remainingTokens(Prompt prompt, int generatedTokens) {
        double mean = prompt.outputTokens() * MEAN_LENGTH_RATIO;
        double expected = prompt.lengthHint().isPresent()
                ? HINT_WEIGHT * Math.min(prompt.lengthHint().getAsInt(), prompt.outputTokens())
                        + (1 - HINT_WEIGHT) * mean
                : mean;
        double overdue = Math.max(0, prompt.outputTokens() - generatedTokens) * OVERDUE_RATIO;
        return (int) Math.max(expected - generatedTokens, Math.min(overdue, expected * OVERDUE_RATIO));
    }
}
