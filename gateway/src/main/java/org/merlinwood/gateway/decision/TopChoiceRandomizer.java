package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Picks one of the best candidates at random. Many entries choose at the same time, each from status messages that are
 * slightly out of date; if all picked the best instance, the one that just became free would get all their requests.
 *
 * <p>With few entries the best candidate is always picked: a new status message arrives before their next request.
 * Confined to the event loop.
 */
final class TopChoiceRandomizer {

    /** Number of entries whose choices between two status messages fill about one instance. */
    private static final int ENTRIES_PER_INSTANCE = 3;

    /** At most one in this many candidates is eligible, so that domain, latency and error rate still matter. */
    private static final int CANDIDATES_PER_ELIGIBLE = 4;

    private final SplittableRandom random;
    private int entryCount = 1;

    /**
     * Creates a randomizer for one entry.
     *
     * @param seed seed of the random numbers; must differ between entries
     */
    TopChoiceRandomizer(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Sets the number of entries that choose from the same candidates.
     *
     * @param count number of entries, this one included
     */
    void entryCount(int count) {
        entryCount = count;
    }

    /** Picks one of the first candidates; the number of eligible ones grows with the number of entries. */
    <T> Optional<T> pick(List<T> bestFirst) {
        if (bestFirst.isEmpty()) {
            return Optional.empty();
        }
        int eligible = Math.min(entryCount / ENTRIES_PER_INSTANCE, bestFirst.size() / CANDIDATES_PER_ELIGIBLE);
        return Optional.of(bestFirst.get(eligible > 1 ? random.nextInt(eligible) : 0));
    }
}
