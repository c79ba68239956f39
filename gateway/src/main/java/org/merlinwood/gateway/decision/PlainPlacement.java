package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * Chooses instances of plain services: by expected completion if instances of the service report their speed, otherwise
 * by the number of their requests. Confined to the event loop.
 */
final class PlainPlacement {

    private final InstanceCandidates candidates;
    private final FleetStatistics statistics;
    private final InstanceRanking ranking;
    private final PlainForecasts forecasts;
    private final MillisClock clock;
    private final String ownDomain;
    private final SplittableRandom random;

    /**
     * Creates the placement of one entry.
     *
     * @param candidates instances that may get a request
     * @param statistics load and health of the instances
     * @param ranking compares the candidates
     * @param forecasts forecasts of the completion of requests
     * @param clock source of the monotonic time
     * @param ownDomain failure domain of this entry
     * @param seed seed of the random choice by expected completion; must differ between entries
     */
    PlainPlacement(
            InstanceCandidates candidates,
            FleetStatistics statistics,
            InstanceRanking ranking,
            PlainForecasts forecasts,
            MillisClock clock,
            String ownDomain,
            long seed) {
        this.candidates = candidates;
        this.statistics = statistics;
        this.ranking = ranking;
        this.forecasts = forecasts;
        this.clock = clock;
        this.ownDomain = ownDomain;
        this.random = new SplittableRandom(seed);
    }

    /** Chooses an instance, see {@link InstancePool#choosePlain}. */
    Optional<UpstreamInstance> choose(String service, Optional<String> version, Set<String> excluded) {
        List<UpstreamInstance> eligible = candidates.of(service, Stage.PLAIN, version, excluded);
        double lowestErrorRate = ranking.lowestErrorRate(eligible);
        if (forecasts.isSpeedReported(eligible)) {
            return ranking.choose(eligible, available -> pickByCompletion(available, lowestErrorRate));
        }
        double meanMillis = ranking.meanMillis(eligible);
        return ranking.chooseBest(eligible, instance -> score(instance, lowestErrorRate, meanMillis));
    }

    private Optional<UpstreamInstance> pickByCompletion(List<UpstreamInstance> available, double lowestErrorRate) {
        if (available.isEmpty()) {
            return Optional.empty();
        }
        List<ArrivalSpread.Target> targets = forecasts.targets(available, lowestErrorRate);
        return Optional.of(available.get(ArrivalSpread.choose(targets, random)));
    }

    private double score(UpstreamInstance instance, double lowestErrorRate, double meanMillis) {
        InstanceStatistics known = statistics.of(instance.identifier());
        double load =
                1 + known.allRunning(clock.monotonicMillis()) + InstanceRanking.domainPenalty(instance, ownDomain);
        return load * InstanceRanking.latencyFactor(known, meanMillis) * ranking.errorFactor(known, lowestErrorRate);
    }
}
