package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * Forecasts how much memory the answers under way at one instance will need together at most. Stateless.
 *
 * <p>Answers grow evenly and give all their memory back when they end, so the largest need comes just before one of
 * them ends. Their lengths are expected, not known, each by itself: what is uncertain about their sum grows with the
 * root of the sum of squares, and nothing is uncertain about what they hold already.
 */
public final class MemoryForecast {

    /**
     * Root of the mean square by which an answer misses its expected length, as a part of it: 1,500 of 5,150 tokens.
     */
    private static final double LENGTH_ERROR_PART = 0.29;

    /** Errors that are provided for; an instance that runs out of memory reads a whole prompt again. */
    private static final double PROVIDED_ERRORS = 3;

    /**
     * One answer under way.
     *
     * @param occupiedTokens memory that it holds now
     * @param remainingTokens tokens that it will still add, as expected
     */
    public record Growth(int occupiedTokens, int remainingTokens) {}

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
            held += answer.occupiedTokens();
            alive++;
            peak = Math.max(peak, held + (long) alive * answer.remainingTokens());
        }
        return peak;
    }

    /**
     * Returns the memory to keep ready for the answers under way: the largest need, and what is uncertain about it.
     *
     * @param answers the answers under way
     * @return tokens
     */
    public static long neededTokens(List<Growth> answers) {
        double squares = answers.stream()
                .mapToDouble(answer -> Math.pow(LENGTH_ERROR_PART * answer.remainingTokens(), 2))
                .sum();
        return peakTokens(answers) + Math.round(PROVIDED_ERRORS * Math.sqrt(squares));
    }

    /**
     * Forecasts when another answer will fit beside those under way.
     *
     * @param answers the answers under way
     * @param next the other one
     * @param capacityTokens memory of the instance
     * @param tokensPerMilli how fast each answer grows
     * @return milliseconds from now, 0 if it fits already, empty if it will not fit into the empty memory
     */
    public static OptionalLong millisUntilFits(
            List<Growth> answers, Growth next, long capacityTokens, double tokensPerMilli) {
        List<Integer> ends = new ArrayList<>(
                answers.stream().map(Growth::remainingTokens).sorted().toList());
        ends.addFirst(0);
        for (int grown : ends) {
            List<Growth> later = new ArrayList<>();
            answers.stream()
                    .filter(answer -> grown == 0 || answer.remainingTokens() > grown)
                    .forEach(answer ->
                            later.add(new Growth(answer.occupiedTokens() + grown, answer.remainingTokens() - grown)));
            later.add(next);
            if (neededTokens(later) <= capacityTokens) {
                return OptionalLong.of(Math.round(grown / tokensPerMilli));
            }
        }
        return OptionalLong.empty();
    }
}
