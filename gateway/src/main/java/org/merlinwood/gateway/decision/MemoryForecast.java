package org.merlinwood.gateway.decision;

import java.util.Comparator;
import java.util.List;

/**
 * Forecasts how much memory the answers under way at one instance will need together at most. Stateless.
 *
 * <p>Answers grow evenly and give all their memory back when they end, so the largest need comes just before one of
 * them ends.
 */
public final class MemoryForecast {

    /**
     * One answer under way.
     *
     * @param heldTokens memory that it holds now
     * @param remainingTokens tokens that it will still add, as expected
     */
    public record Growth(int heldTokens, int remainingTokens) {}

    private MemoryForecast() {}

    /**
     * Forecasts the largest need.
     *
     * @param answers the answers under way
     * @return tokens
     */
    public static long peakTokens(List<Growth> answers) {
        List<Growth> byEnd = answers.stream()
                .sorted(Comparator.comparingInt(Growth::remainingTokens).reversed())
                .toList();
        long peak = 0;
        long held = 0;
        int alive = 0;
        for (Growth answer : byEnd) {
            held += answer.heldTokens();
            alive++;
            peak = Math.max(peak, held + (long) alive * answer.remainingTokens());
        }
        return peak;
    }
}
