package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Spreads choices that many entries make at the same time, each from news that is a little old: if all took the best
 * instance, the one that just became free would get the requests of all of them. Used by the event loop alone.
 *
 * <p>With few entries the best is taken: news is fresher than their next request.
 */
final class TopChoiceRandomizer {

    /** Entries whose choices between two news fill about one instance more. */
    private static final int ENTRIES_PER_INSTANCE = 3;

    /** One in so many candidates may be chosen at most, so that distance, speed and errors still count. */
    private static final int LARGEST_PART = 4;

    private final SplittableRandom random;
    private int entryCount = 1;

    /**
     * Creates a spread.
     *
     * @param seed differs from entry to entry
     */
    TopChoiceRandomizer(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Sets how many entries choose.
     *
     * @param count entries, this one included
     */
    void entryCount(int count) {
        entryCount = count;
    }

    /** Picks one of the first few, as many as entries may choose at once. */
    <T> Optional<T> pick(List<T> bestFirst) {
        if (bestFirst.isEmpty()) {
            return Optional.empty();
        }
        int few = Math.min(entryCount / ENTRIES_PER_INSTANCE, bestFirst.size() / LARGEST_PART);
        return Optional.of(bestFirst.get(few > 1 ? random.nextInt(few) : 0));
    }
}
