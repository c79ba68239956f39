package org.merlinwood.gateway.decision;

import java.util.SortedMap;
import java.util.TreeMap;

/** Priorities of the recent requests of one service, whose counts decay with time. Confined to the event loop. */
final class RecentPriorities {

    /** Time in which a count decays to 37 %, in milliseconds. */
    private static final double DECAY_MILLIS = 3_000;

    /** Count below which a priority is forgotten. */
    private static final double FORGOTTEN_COUNT = 0.01;

    private final TreeMap<Integer, Double> countByPriority = new TreeMap<>();
    private long decayedMillis;

    void record(int priority, long nowMillis) {
        double remaining = StrictMath.exp(-(nowMillis - decayedMillis) / DECAY_MILLIS);
        decayedMillis = nowMillis;
        countByPriority.replaceAll((ignored, count) -> count * remaining);
        countByPriority.values().removeIf(count -> count < FORGOTTEN_COUNT);
        countByPriority.merge(priority, 1.0, Double::sum);
    }

    /** Returns the part of the requests that are more urgent than a priority, between 0 and 1. */
    double moreUrgentPart(int priority) {
        return sum(countByPriority.headMap(priority)) / sum(countByPriority);
    }

    /** Returns the part of the requests that are less urgent than a priority, between 0 and 1. */
    double lessUrgentPart(int priority) {
        return sum(countByPriority.tailMap(priority, false)) / sum(countByPriority);
    }

    private static double sum(SortedMap<Integer, Double> counts) {
        return counts.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
