package org.merlinwood.proving.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The faults of one seed: in series, overlapping, more than one at a time. Immutable; the same seed gives the same
 * plan.
 *
 * @param faults by their beginning
 */
record FaultPlan(List<ScheduledFault> faults) {

    /** Calm time before the first fault, in milliseconds, so that every process has served. */
    static final long CALM_MILLIS = 1_500;

    /** Shortest and longest fault, in milliseconds: below a connection's patience, and past every time limit. */
    private static final int SHORTEST_MILLIS = 50;

    private static final int LONGEST_MILLIS = 4_000;

    /** Mean time between the beginnings of two faults, in milliseconds; with faults of two seconds, two overlap. */
    private static final int BETWEEN_MILLIS = 900;

    private static final List<FaultKind> KINDS = List.of(FaultKind.values());

    static FaultPlan of(long seed, long lengthMillis, int entries, int instances) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<ScheduledFault> faults = new ArrayList<>();
        long at = CALM_MILLIS;
        while (at < lengthMillis) {
            FaultKind kind = KINDS.get(random.nextInt(KINDS.size()));
            long forMillis = random.nextInt(SHORTEST_MILLIS, LONGEST_MILLIS);
            ScheduledFault fault = new ScheduledFault(
                    kind, target(kind, random, entries, instances), at, Math.min(forMillis, lengthMillis - at));
            if (faults.stream().noneMatch(other -> collides(other, fault))) {
                faults.add(fault);
            }
            at += random.nextInt(2 * BETWEEN_MILLIS);
        }
        faults.sort(Comparator.comparingLong(ScheduledFault::atMillis));
        return new FaultPlan(List.copyOf(faults));
    }

    /** When the last fault is over, in milliseconds from the start of the load. */
    long endMillis() {
        return faults.stream().mapToLong(ScheduledFault::endMillis).max().orElse(0);
    }

    private static int target(FaultKind kind, UniformRandomProvider random, int entries, int instances) {
        return switch (kind.target()) {
            case ENTRY -> random.nextInt(entries);
            case INSTANCE -> random.nextInt(instances);
            case STORE -> 0;
        };
    }

    /** A path or process carries one fault at a time; a second one would undo the first. */
    private static boolean collides(ScheduledFault one, ScheduledFault other) {
        boolean sameTarget = one.kind().target() == other.kind().target() && one.target() == other.target();
        return sameTarget && one.endMillis() >= other.atMillis() && other.endMillis() >= one.atMillis();
    }
}
