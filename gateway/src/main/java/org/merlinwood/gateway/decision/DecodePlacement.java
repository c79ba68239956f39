package org.merlinwood.gateway.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.route.EngineLimits;

/**
 * Chooses instances that generate responses, by the memory that all responses there will need, and forecasts when there
 * is room for another one. Confined to the event loop.
 */
final class DecodePlacement {

    /** Assumed time between two events until an instance has completed its first response, in milliseconds. */
    private static final double DEFAULT_EVENT_INTERVAL_MILLIS = 45;

    /** How much slower, or more often failing, than the best one an instance of the home version may be. */
    private static final double MAXIMUM_SLOWNESS = 2;

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
    DecodePlacement(
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

    /** Chooses an instance with a free slot and enough memory, see {@link InstancePool#chooseDecode}. */
    Optional<UpstreamInstance> choose(
            String service, PendingGeneration pending, EngineLimits limits, Set<String> excluded) {
        List<UpstreamInstance> eligible = candidates.of(service, Stage.DECODE, pending.version(), excluded);
        ToDoubleFunction<UpstreamInstance> slowness = slownessAmong(eligible);
        Map<String, Long> neededTokens = new HashMap<>();
        eligible.forEach(instance -> neededTokens.put(instance.identifier(), neededTokensWith(instance, pending)));
        List<UpstreamInstance> withCapacity = eligible.stream()
                .filter(instance -> neededTokens.get(instance.identifier()) <= limits.memoryTokens())
                .filter(instance -> hasFreeSlot(instance, limits))
                .filter(instance -> !hasJustDeclined(instance, pending, limits))
                .toList();
        List<UpstreamInstance> atHome = atHomeVersion(service, pending, withCapacity, slowness);
        return ranking.chooseBest(
                atHome.isEmpty() ? withCapacity : atHome,
                instance -> neededTokens.get(instance.identifier()) * slowness.applyAsDouble(instance)
                        + InstanceRanking.domainPenalty(instance, ownDomain) * pending.startTokens());
    }

    /** Returns how slow, or how often failing, an instance is beside others; about 1 for a usual one. */
    private ToDoubleFunction<UpstreamInstance> slownessAmong(List<UpstreamInstance> instances) {
        double lowestErrorRate = ranking.lowestErrorRate(instances);
        double meanMillis = ranking.meanMillis(instances);
        return instance -> {
            InstanceStatistics known = statistics.of(instance.identifier());
            return InstanceRanking.latencyFactor(known, meanMillis) * ranking.errorFactor(known, lowestErrorRate);
        };
    }

    /**
     * Returns the instances with capacity of the version at which the requests of a session preferably begin, without
     * those that accept no work now or are much slower than others.
     */
    private List<UpstreamInstance> atHomeVersion(
            String service,
            PendingGeneration pending,
            List<UpstreamInstance> withCapacity,
            ToDoubleFunction<UpstreamInstance> slowness) {
        Optional<String> home = pending.version().isPresent()
                ? Optional.empty()
                : pending.prompt().lastPart().flatMap(part -> candidates.homeVersion(service, part.identifier()));
        if (home.isEmpty()) {
            return List.of();
        }
        List<UpstreamInstance> available = ranking.available(withCapacity);
        double lowestSlowness = available.stream().mapToDouble(slowness).min().orElse(0);
        return available.stream()
                .filter(instance -> home.get().equals(instance.version()))
                .filter(instance -> slowness.applyAsDouble(instance) <= MAXIMUM_SLOWNESS * lowestSlowness)
                .toList();
    }

    /** Returns how many instances have capacity for a response, see {@link MemoryRoom#of}. */
    WaitRanking.Room room(String service, PendingGeneration pending, EngineLimits limits, Set<String> excluded) {
        long now = clock.monotonicMillis();
        List<UpstreamInstance> all = candidates.of(service, Stage.DECODE, pending.version(), Set.of());
        long withRoom = all.stream()
                .filter(instance -> !excluded.contains(instance.identifier()))
                .filter(instance -> statistics.of(instance.identifier()).acceptsWork(now))
                .filter(instance -> hasFreeSlot(instance, limits))
                .filter(instance -> !hasJustDeclined(instance, pending, limits))
                .filter(instance -> neededTokensWith(instance, pending) <= limits.memoryTokens())
                .count();
        return new WaitRanking.Room((int) withRoom, all.size());
    }

    /** Returns the memory that an instance must have free for a response, see {@link InstancePool#memoryNeed}. */
    MemoryNeed memoryNeed(String identifier, PendingGeneration pending, EngineLimits limits) {
        return MemoryNeed.of(statistics.of(identifier).allGenerations(), pending.memoryGrowth(), limits);
    }

    /** Forecasts when there is room for a response, see {@link InstancePool#millisUntilCapacity}. */
    OptionalLong millisUntilCapacity(String service, PendingGeneration pending, EngineLimits limits) {
        long now = clock.monotonicMillis();
        MemoryForecast.Growth next = pending.memoryGrowth();
        OptionalLong untilCapacity = candidates.of(service, Stage.DECODE, pending.version(), Set.of()).stream()
                .map(instance -> statistics.of(instance.identifier()))
                .filter(known -> known.acceptsWork(now))
                .map(known -> MemoryForecast.millisUntilFits(
                        known.allGenerations(), next, limits.memoryTokens(), tokensPerMilli(known, limits)))
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .min();
        return untilCapacity.isPresent()
                ? untilCapacity
                : candidates.millisUntilAccepted(service, Stage.DECODE, pending.version());
    }

    private boolean hasFreeSlot(UpstreamInstance instance, EngineLimits limits) {
        return statistics.of(instance.identifier()).allGenerations().size() < limits.slots();
    }

    private boolean hasJustDeclined(UpstreamInstance instance, PendingGeneration pending, EngineLimits limits) {
        int tokens = memoryNeed(instance.identifier(), pending, limits).freeTokens();
        return statistics.of(instance.identifier()).recentlyDeclined(tokens, clock.monotonicMillis());
    }

    private static double tokensPerMilli(InstanceStatistics statistics, EngineLimits limits) {
        return limits.tokensPerEvent()
                / (statistics.averageMillis() > 0 ? statistics.averageMillis() : DEFAULT_EVENT_INTERVAL_MILLIS);
    }

    private long neededTokensWith(UpstreamInstance instance, PendingGeneration pending) {
        List<MemoryForecast.Growth> generations =
                statistics.of(instance.identifier()).allGenerations();
        generations.add(pending.memoryGrowth());
        return MemoryForecast.neededTokens(generations);
    }
}
