package org.merlinwood.proving.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The schedule of faults of one seed. Faults may follow one another or overlap. Immutable; the same seed gives the same
 * plan.
 *
 * @param faults the faults, sorted by start time
 */
record FaultPlan(List<ScheduledFault> faults) {

    /** Time before the first fault, in milliseconds, in which every process serves requests. */
    static final long WARM_UP_MILLIS = 1_500;

    /**
     * Range of fault durations in milliseconds: from less than a connection timeout to more than every request timeout.
     */
    private static final int MINIMUM_FAULT_MILLIS = 50;

    private static final int MAXIMUM_FAULT_MILLIS = 4_000;

    /**
     * Mean time between the starts of two faults, in milliseconds. As the mean fault lasts two seconds, two overlap.
     */
    private static final int MEAN_INTERVAL_MILLIS = 900;

    private static final int SEEDS_PER_CRASHING_PART = 3;

    /** Latest start of a crashing part after the warm-up, in milliseconds. */
    private static final int MAXIMUM_CRASHING_PART_DELAY_MILLIS = 1_500;

    /** Mean time between two faults of the kinds that have a sequence of their own, in milliseconds. */
    private static final int ADDED_MEAN_INTERVAL_MILLIS = 3_000;

    /**
     * Kinds that are drawn in a sequence of their own, so that the faults of the other kinds stay those of their seed.
     */
    private static final List<FaultKind> ADDED_KINDS = List.of(FaultKind.INSTANCE_DECLINES, FaultKind.STORE_RESTORED);

    /** As {@link #ADDED_KINDS}, in a third sequence. */
    private static final List<FaultKind> LATER_ADDED_KINDS = List.of(FaultKind.INSTANCE_ENDLESS);

    private static final List<FaultKind> KINDS = Arrays.stream(FaultKind.values())
            .filter(kind -> !ADDED_KINDS.contains(kind) && !LATER_ADDED_KINDS.contains(kind))
            .filter(kind -> kind != FaultKind.CRASHING_PART)
            .toList();

    static FaultPlan of(long seed, long lengthMillis, int entries, int instances) {
        List<ScheduledFault> faults = new ArrayList<>();
        addFaults(faults, KINDS, MEAN_INTERVAL_MILLIS, seed, lengthMillis, entries, instances);
        addFaults(faults, ADDED_KINDS, ADDED_MEAN_INTERVAL_MILLIS, ~seed, lengthMillis, entries, instances);
        addFaults(faults, LATER_ADDED_KINDS, ADDED_MEAN_INTERVAL_MILLIS, -seed, lengthMillis, entries, instances);
        addCrashingPart(faults, seed, lengthMillis);
        faults.sort(Comparator.comparingLong(ScheduledFault::atMillis));
        return new FaultPlan(List.copyOf(faults));
    }

    private static void addFaults(
            List<ScheduledFault> faults,
            List<FaultKind> kinds,
            int meanIntervalMillis,
            long seed,
            long lengthMillis,
            int entries,
            int instances) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        long at = WARM_UP_MILLIS;
        while (at < lengthMillis) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            long forMillis = random.nextInt(MINIMUM_FAULT_MILLIS, MAXIMUM_FAULT_MILLIS);
            ScheduledFault fault = new ScheduledFault(
                    kind, target(kind, random, entries, instances), at, Math.min(forMillis, lengthMillis - at));
            if (faults.stream().noneMatch(other -> collides(other, fault))) {
                faults.add(fault);
            }
            at += random.nextInt(2 * meanIntervalMillis);
        }
    }

    /** Adds a crashing part to one in {@value #SEEDS_PER_CRASHING_PART} seeds; it comes until the last fault ends. */
    private static void addCrashingPart(List<ScheduledFault> faults, long seed, long lengthMillis) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(Long.reverse(seed));
        long at = WARM_UP_MILLIS + random.nextInt(MAXIMUM_CRASHING_PART_DELAY_MILLIS);
        if (random.nextInt(SEEDS_PER_CRASHING_PART) == 0 && at < lengthMillis) {
            faults.add(new ScheduledFault(FaultKind.CRASHING_PART, 0, at, lengthMillis - at));
        }
    }

    /** Returns the end of the last fault, in milliseconds from the start of the load; 0 without faults. */
    long endMillis() {
        return faults.stream().mapToLong(ScheduledFault::endMillis).max().orElse(0);
    }

    private static int target(FaultKind kind, UniformRandomProvider random, int entries, int instances) {
        return switch (kind.target()) {
            case ENTRY -> random.nextInt(entries);
            case INSTANCE -> random.nextInt(instances);
            case STORE, LOAD -> 0;
        };
    }

    /** Tells whether two faults overlap at one target. The end of one would undo the other, so this is not allowed. */
    private static boolean collides(ScheduledFault one, ScheduledFault other) {
        boolean sameTarget = one.kind().target() == other.kind().target() && one.target() == other.target();
        return sameTarget && one.endMillis() >= other.atMillis() && other.endMillis() >= one.atMillis();
    }
}
