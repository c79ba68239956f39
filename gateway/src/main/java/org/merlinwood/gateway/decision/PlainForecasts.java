package org.merlinwood.gateway.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/**
 * Forecasts when instances of plain services complete requests, for services whose instances report their speed.
 * Confined to the event loop.
 *
 * <p>The number of requests at an instance is that of its last report, whoever received it, less what has completed
 * since and plus what this entry has sent since. The older the report, the more the work counts that entries reported.
 */
public final class PlainForecasts {

    /** Time in which a report loses 63 % of its weight against the work that entries reported, in milliseconds. */
    private static final double REPORT_DECAY_MILLIS = 100;

    /** Mean time of work that is assumed before it was observed, in milliseconds. */
    private static final double ASSUMED_WORK_MILLIS = 100;

    private final FleetState fleet;
    private final InstanceCandidates candidates;
    private final FleetStatistics statistics;
    private final InstanceRanking ranking;
    private final MillisClock clock;
    private final String ownDomain;
    private final DeadlineAdmission admission;
    private final Map<String, WorkTime> workTimeByService = new HashMap<>();

    /**
     * Creates forecasts without observations.
     *
     * @param fleet the registered instances
     * @param candidates instances that may get a request
     * @param statistics load and health of the instances
     * @param ranking tells which instances accept work, and their error rates
     * @param clock source of the monotonic time
     * @param ownDomain failure domain of this entry
     */
    PlainForecasts(
            FleetState fleet,
            InstanceCandidates candidates,
            FleetStatistics statistics,
            InstanceRanking ranking,
            MillisClock clock,
            String ownDomain) {
        this.fleet = fleet;
        this.candidates = candidates;
        this.statistics = statistics;
        this.ranking = ranking;
        this.clock = clock;
        this.ownDomain = ownDomain;
        this.admission = new DeadlineAdmission(this, clock);
    }

    /**
     * Returns what decides by these forecasts whether a request is refused.
     *
     * @return the live admission
     */
    public DeadlineAdmission admission() {
        return admission;
    }

    /** Returns the instances of a service that accept work; empty if none of them has recently reported its speed. */
    List<ArrivalSpread.Target> availableTargets(String service) {
        List<UpstreamInstance> eligible = candidates.of(service, Stage.PLAIN, Set.of());
        return isSpeedReported(eligible)
                ? targets(ranking.available(eligible), ranking.lowestErrorRate(eligible))
                : List.of();
    }

    /** Returns the backlogs and ranks of instances, in the same order. */
    List<ArrivalSpread.Target> targets(List<UpstreamInstance> instances, double lowestErrorRate) {
        return instances.stream()
                .map(instance -> new ArrivalSpread.Target(
                        backlog(instance),
                        ranking.errorFactor(statistics.of(instance.identifier()), lowestErrorRate),
                        InstanceRanking.domainPenalty(instance, ownDomain)))
                .toList();
    }

    /**
     * Records what an instance reported to this entry, unless it generates responses: nothing is decided by the speed
     * of decode instances, so theirs is neither kept nor relayed.
     */
    void recordLoad(String identifier, UpstreamLoad load) {
        if (fleet.find(identifier)
                .filter(instance -> instance.stage() != Stage.DECODE)
                .isPresent()) {
            statistics.of(identifier).reportedLoad().record(load, clock.monotonicMillis());
        }
    }

    /** Returns whether one of the instances has recently reported its speed. */
    boolean isSpeedReported(List<UpstreamInstance> instances) {
        long now = clock.monotonicMillis();
        return instances.stream()
                .anyMatch(instance ->
                        statistics.of(instance.identifier()).reportedLoad().isKnown(now));
    }

    /** Returns the backlog of an instance. One without a recent report is taken to have the usual speed. */
    Backlog backlog(UpstreamInstance instance) {
        long now = clock.monotonicMillis();
        InstanceStatistics known = statistics.of(instance.identifier());
        ReportedLoad reported = known.reportedLoad();
        if (!reported.isKnown(now)) {
            return new Backlog(
                    known.allRunning(now), 0, 0, Math.max(1, instance.slots()), 1, ReportedLoad.MAXIMUM_AGE_MILLIS);
        }
        UpstreamLoad load = reported.load();
        double factor = reported.factor(now);
        double count = load.running() + (double) load.waiting();
        double completedPerMilli = Math.min(count, load.slots())
                / (factor * workMillis(instance.service()).orElse(ASSUMED_WORK_MILLIS));
        double completed = Math.min(count, reported.ageMillis(now) * completedPerMilli);
        double byReport = count - completed + reported.sentSinceReport();
        double weight = StrictMath.exp(-reported.ageMillis(now) / REPORT_DECAY_MILLIS);
        double remaining = weight * byReport + (1 - weight) * known.allRunning(now);
        return new Backlog(
                Math.max(remaining, known.ownRunning()),
                completed,
                byReport,
                load.slots(),
                factor,
                reported.ageMillis(now));
    }

    /** Returns the mean time of the work for a request at the usual speed; empty before it was observed. */
    OptionalDouble workMillis(String service) {
        WorkTime workTime = workTimeByService.get(service);
        return workTime == null ? OptionalDouble.empty() : workTime.meanMillis();
    }

    /** Returns the forecast for a request that is sent to an instance now; empty without a recent report. */
    Optional<CompletionForecast> forecast(String identifier) {
        return fleet.find(identifier)
                .filter(instance -> statistics.of(identifier).reportedLoad().isKnown(clock.monotonicMillis()))
                .map(this::forecast);
    }

    private CompletionForecast forecast(UpstreamInstance instance) {
        Backlog backlog = backlog(instance);
        double units = backlog.completion(backlog.remaining() + backlog.completed());
        double expectedMillis = workMillis(instance.service()).orElse(0) * units;
        return new CompletionForecast(units, Math.round(expectedMillis), backlog.ageMillis());
    }

    /**
     * Records how long an attempt took that was answered without an error.
     *
     * @param attempt the attempt; ignored if there was no forecast at its start
     * @param latencyMillis time that the response took, in milliseconds
     */
    public void recordSuccess(ActivePlainAttempt attempt, long latencyMillis) {
        ReportedLoad reported = statistics.of(attempt.instance()).reportedLoad();
        if (attempt.forecast().isPresent() && reported.isKnown(clock.monotonicMillis())) {
            double units = attempt.forecast().get().units();
            fleet.find(attempt.instance())
                    .map(instance -> workTimeByService.computeIfAbsent(instance.service(), ignored -> new WorkTime()))
                    .ifPresent(workTime -> workTime.record(
                            latencyMillis, units, reported.load().waiting()));
        }
    }
}
