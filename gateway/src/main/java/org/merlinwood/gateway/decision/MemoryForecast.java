package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * Forecasts the peak memory use of the responses in progress at one instance. Stateless.
 *
 * <p>All responses grow at the same rate and release their memory when they end, so the peak is reached just before one
 * of them ends. Remaining lengths are independent estimates, so the error of their sum grows with the square root of
 * the sum of squares. The memory that responses already occupy is known exactly.
 */
public final class MemoryForecast {

    /** Root mean square error of an expected length, as a fraction of that length: 1,500 of 5,150 tokens. */
    private static final double LENGTH_ERROR_RATIO = 0.29;

    /**
     * Multiple of the root mean square error that is kept free. An instance that runs out of memory has to compute a
     * whole prompt again.
     */
    private static final double RESERVED_ERRORS = 3;

    /**
     * Memory use of one response.
     *
     * @param occupiedTokens memory that the response occupies now, in tokens, the prompt included
     * @param remainingTokens expected number of tokens still to be generated
     */
    public record Growth(int occupiedTokens, int remainingTokens) {}

    private MemoryForecast() {}

    /**
     * Forecasts the peak memory use, without a reserve for estimation errors.
     *
     * @param generations the responses in progress
     * @return memory in tokens, 0 for an empty list
     */
    public static long peakTokens(List<Growth> generations) {
        List<Growth> lastEndingFirst = generations.stream()
                .sorted(Comparator.comparingInt(Growth::remainingTokens).reversed())
                .toList();
        long peak = 0;
        long occupied = 0;
        int active = 0;
        for (Growth generation : lastEndingFirst) {
            occupied += generation.occupiedTokens();
            active++;
            peak = Math.max(peak, occupied + (long) active * generation.remainingTokens());
        }
        return peak;
    }

    /**
     * Forecasts the memory needed for the responses in progress: the peak, plus a reserve for estimation errors.
     *
     * @param generations the responses in progress
     * @return memory in tokens, 0 for an empty list
     */
    public static long neededTokens(List<Growth> generations) {
        double squares = generations.stream()
                .mapToDouble(generation -> Math.pow(LENGTH_ERROR_RATIO * generation.remainingTokens(), 2))
                .sum();
        return peakTokens(generations) + Math.round(RESERVED_ERRORS * Math.sqrt(squares));
    }

    /**
     * Forecasts how much memory must be free now for another response to fit: its own and the growth of the others.
     *
     * @param generations the responses in progress
     * @param next the additional response
     * @return memory in tokens
     */
    public static long freeTokensFor(List<Growth> generations, Growth next) {
        List<Growth> all = new ArrayList<>(generations);
        all.add(next);
        long occupied = generations.stream().mapToLong(Growth::occupiedTokens).sum();
        return neededTokens(all) - occupied;
    }

    /**
     * Forecasts when another response will fit into the memory of the instance.
     *
     * @param generations the responses in progress
     * @param next the additional response
     * @param capacityTokens memory of the instance, in tokens
     * @param tokensPerMilli rate at which each response grows, in tokens per millisecond
     * @return milliseconds from now; 0 if it fits already, empty if it does not fit even into the empty memory
     */
    public static OptionalLong millisUntilFits(
            List<Growth> generations, Growth next, long capacityTokens, double tokensPerMilli) {
        List<Integer> ends = new ArrayList<>(
                generations.stream().map(Growth::remainingTokens).sorted().toList());
        ends.addFirst(0);
        for (int grownTokens : ends) {
            List<Growth> later = new ArrayList<>();
            generations.stream()
                    .filter(generation -> grownTokens == 0 || generation.remainingTokens() > grownTokens)
                    .forEach(generation -> later.add(new Growth(
                            generation.occupiedTokens() + grownTokens, generation.remainingTokens() - grownTokens)));
            later.add(next);
            if (neededTokens(later) <= capacityTokens) {
                return OptionalLong.of(Math.round(grownTokens / tokensPerMilli));
            }
        }
        return OptionalLong.empty();
    }
}
