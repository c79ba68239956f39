package org.merlinwood.gateway.decision;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * Chooses the best of some candidates by a score, and computes the parts of a score that follow from the latency, the
 * error rate and the failure domain of an instance.
 *
 * <p>An instance that failed is not chosen during a pause, which doubles with each consecutive failure. After the pause
 * it gets one request at a time until it responds. If all candidates are paused, the one whose pause ends first is
 * chosen, since it may have recovered, except one that may have declined requests in a response that was not read: that
 * one gets a single request then as well. Confined to the event loop.
 */
final class InstanceRanking {

    /** Load that is added for an instance in another failure domain, as a fraction of one request. */
    private static final double CROSS_DOMAIN_LOAD = 0.4;

    /** Weight of an error rate in excess of the lowest error rate among the candidates. */
    private static final double ERROR_RATE_WEIGHT = 12;

    private final FleetStatistics statistics;
    private final MillisClock clock;
    private final TopChoiceRandomizer randomizer;

    /**
     * Creates a ranking.
     *
     * @param statistics load and health of the instances
     * @param clock source of the monotonic time
     * @param seed seed of the random choice among the best instances; must differ between entries
     */
    InstanceRanking(FleetStatistics statistics, MillisClock clock, long seed) {
        this.statistics = statistics;
        this.clock = clock;
        this.randomizer = new TopChoiceRandomizer(seed);
    }

    /** Sets the number of entries that choose from the same instances, this one included. */
    void entryCount(int count) {
        randomizer.entryCount(count);
    }

    /**
     * Chooses the candidate with the lowest score that accepts work, or, with many entries, one of the lowest.
     *
     * @param candidates instances that may be chosen
     * @param score score of an instance
     * @return the chosen instance, empty if there is no candidate or each gets a single request now and has it
     */
    Optional<UpstreamInstance> chooseBest(List<UpstreamInstance> candidates, ToDoubleFunction<UpstreamInstance> score) {
        return choose(
                candidates,
                available -> randomizer.pick(available.stream()
                        .sorted(Comparator.comparingDouble(score))
                        .toList()));
    }

    /**
     * Chooses among the candidates that accept work, or, if there are none, the one whose pause ends first.
     *
     * @param candidates instances that may be chosen
     * @param picker picks one of the candidates that accept work; empty only if there are none
     * @return the chosen instance, empty if there is no candidate or each gets a single request now and has it
     */
    Optional<UpstreamInstance> choose(
            List<UpstreamInstance> candidates, Function<List<UpstreamInstance>, Optional<UpstreamInstance>> picker) {
        long now = clock.monotonicMillis();
        return picker.apply(available(candidates)).or(() -> firstToRecover(candidates, now));
    }

    /** Returns the candidates that accept work, in the same order. */
    List<UpstreamInstance> available(List<UpstreamInstance> candidates) {
        long now = clock.monotonicMillis();
        return candidates.stream()
                .filter(instance -> statistics.of(instance.identifier()).acceptsWork(now))
                .toList();
    }

    private Optional<UpstreamInstance> firstToRecover(List<UpstreamInstance> candidates, long now) {
        return candidates.stream()
                .filter(instance -> statistics.of(instance.identifier()).mayBeTried(now))
                .min(Comparator.comparingLong(
                        instance -> statistics.of(instance.identifier()).pausedUntilMillis()));
    }

    /** Returns the lowest error rate among the candidates, between 0 and 1; 0 if there are none. */
    double lowestErrorRate(List<UpstreamInstance> candidates) {
        return candidates.stream()
                .mapToDouble(instance -> statistics.of(instance.identifier()).errorRate(clock.monotonicMillis()))
                .min()
                .orElse(0);
    }

    /** Returns the mean latency of the candidates with a known latency, in milliseconds; 0 if it is known of none. */
    double meanMillis(List<UpstreamInstance> candidates) {
        return candidates.stream()
                .mapToDouble(instance -> statistics.of(instance.identifier()).averageMillis())
                .filter(millis -> millis > 0)
                .average()
                .orElse(0);
    }

    /** Returns the factor for the latency of an instance beside the mean: 1 if either is unknown, at least 0.5. */
    static double latencyFactor(InstanceStatistics statistics, double meanMillis) {
        if (meanMillis <= 0 || statistics.averageMillis() <= 0) {
            return 1;
        }
        return Math.max(0.5, statistics.averageMillis() / meanMillis);
    }

    /** Returns the factor for the error rate of an instance beside the lowest one, at least 1. */
    double errorFactor(InstanceStatistics statistics, double lowestErrorRate) {
        return 1 + ERROR_RATE_WEIGHT * Math.max(0, statistics.errorRate(clock.monotonicMillis()) - lowestErrorRate);
    }

    /** Returns the load to add for an instance outside of a failure domain, in requests; 0 inside of it. */
    static double domainPenalty(UpstreamInstance instance, String domain) {
        return instance.domain().equals(domain) ? 0 : CROSS_DOMAIN_LOAD;
    }
}
