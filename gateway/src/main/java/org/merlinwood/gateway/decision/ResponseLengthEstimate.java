package org.merlinwood.gateway.decision;

import org.merlinwood.gateway.request.Prompt;

/** Expects how long an answer will get. Stateless. */
public final class ResponseLengthEstimate {

    /** Mean length as a part of the longest length that callers allow. */
    private static final double MEAN_PART = 0.55;

    /** Weight of the caller's own estimate against the mean. */
    private static final double HINT_WEIGHT = 0.5;

    /** Part of what is still allowed that an answer takes which is longer than expected. */
    private static final double OVERDUE_PART = 0.5;

    private ResponseLengthEstimate() {}

    /**
     * Expects the remaining length of an answer.
     *
     * @param prompt what was asked
     * @param generatedTokens length so far
     * @return tokens, at least 0
     */
    public static int remainingTokens(Prompt prompt, int generatedTokens) {
        double mean = prompt.outputTokens() * MEAN_PART;
        double expected = prompt.lengthHint().isPresent()
                ? HINT_WEIGHT * Math.min(prompt.lengthHint().getAsInt(), prompt.outputTokens())
                        + (1 - HINT_WEIGHT) * mean
                : mean;
        double overdue = Math.max(0, prompt.outputTokens() - generatedTokens) * OVERDUE_PART;
        return (int) Math.max(expected - generatedTokens, Math.min(overdue, expected * OVERDUE_PART));
    }
}
