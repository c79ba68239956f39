package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/** Chooses instances of plain services by the number of their requests. Confined to the event loop. */
final class PlainPlacement {

    private final InstanceCandidates candidates;
    private final FleetStatistics statistics;
    private final InstanceRanking ranking;
    private final MillisClock clock;
    private final String ownDomain;

    /**
     * Creates the placement of one entry.
     *
     * @param candidates instances that may get a request
     * @param statistics load and health of the instances
     * @param ranking compares the candidates
     * @param clock source of the monotonic time
     * @param ownDomain failure domain of this entry
     */
    PlainPlacement(
            InstanceCandidates candidates,
            FleetStatistics statistics,
            InstanceRanking ranking,
            MillisClock clock,
            String ownDomain) {
        this.candidates = candidates;
        this.statistics = statistics;
        this.ranking = ranking;
        this.clock = clock;
        this.ownDomain = ownDomain;
    }

    /** Chooses an instance, see {@link InstancePool#choosePlain}. */
    Optional<UpstreamInstance> choose(String service, Optional<String> version, Set<String> excluded) {
        List<UpstreamInstance> eligible = candidates.of(service, Stage.PLAIN, version, excluded);
        double lowestErrorRate = ranking.lowestErrorRate(eligible);
        double meanMillis = ranking.meanMillis(eligible);
        return ranking.chooseBest(eligible, instance -> score(instance, lowestErrorRate, meanMillis));
    }

    private double score(UpstreamInstance instance, double lowestErrorRate, double meanMillis) {
        InstanceStatistics known = statistics.of(instance.identifier());
        double load =
                1 + known.allRunning(clock.monotonicMillis()) + InstanceRanking.domainPenalty(instance, ownDomain);
        return load * InstanceRanking.latencyFactor(known, meanMillis) * ranking.errorFactor(known, lowestErrorRate);
    }
}
