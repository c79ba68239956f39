package org.merlinwood.gateway.decision;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * Chooses instances that compute prompts, by the tokens of the prompts that are queued there and their speed, and
 * estimates how long a prefill takes.
 *
 * <p>The speed is the one that the instances report. Without such reports all are taken to be equally fast, and their
 * observed latencies rank them, in which the time in their queues is included. Confined to the event loop.
 */
final class PrefillPlacement {

    /**
     * Number of prompts that may be queued ahead of a prompt at a prefill instance. A decode instance computes two
     * prompts in the time that these take.
     */
    private static final int MAXIMUM_QUEUED_PROMPTS = 3;

    /** Smallest prompt length from which the limit of queued prompt tokens is computed, in tokens. */
    private static final int MINIMUM_QUEUED_PROMPT_TOKENS = 4_000;

    /** How long work takes at an instance that doesn't report it, relative to the usual time. */
    private static final double USUAL_FACTOR = 1;

    private final InstanceCandidates candidates;
    private final FleetStatistics statistics;
    private final InstanceRanking ranking;
    private final MillisClock clock;
    private final PrefillThroughput throughput = new PrefillThroughput();

    /**
     * Creates the placement of one entry.
     *
     * @param candidates instances that may get a request
     * @param statistics load and health of the instances
     * @param ranking compares the candidates
     * @param clock source of the monotonic time
     */
    PrefillPlacement(
            InstanceCandidates candidates, FleetStatistics statistics, InstanceRanking ranking, MillisClock clock) {
        this.candidates = candidates;
        this.statistics = statistics;
        this.ranking = ranking;
        this.clock = clock;
    }

    /** Chooses an instance with a short queue, see {@link InstancePool#choosePrefill}. */
    Optional<UpstreamInstance> choose(
            String service, Optional<String> version, String nearDomain, int tokens, Set<String> excluded) {
        List<UpstreamInstance> eligible = candidates.of(service, Stage.PREFILL, version, excluded).stream()
                .filter(instance -> statistics.of(instance.identifier()).allPromptTokens()
                        <= Math.max(tokens, MINIMUM_QUEUED_PROMPT_TOKENS) * MAXIMUM_QUEUED_PROMPTS)
                .toList();
        double meanMillis = ranking.meanMillis(eligible);
        return ranking.chooseBest(eligible, instance -> {
            InstanceStatistics known = statistics.of(instance.identifier());
            double speedFactor =
                    reportedFactor(known).orElseGet(() -> InstanceRanking.latencyFactor(known, meanMillis));
            return (known.allPromptTokens() + tokens) * speedFactor
                    + InstanceRanking.domainPenalty(instance, nearDomain) * tokens;
        });
    }

    /** Returns the expected time of a prefill in milliseconds, see {@link InstancePool#expectedPrefillMillis}. */
    long expectedMillis(String identifier, int tokens) {
        InstanceStatistics known = statistics.of(identifier);
        return throughput.expectedMillis(
                known.allPromptTokens() + tokens, reportedFactor(known).orElse(USUAL_FACTOR));
    }

    /** Returns the expected time of a prefill at the instance where it ends first, in milliseconds. */
    long shortestMillis(String service, Optional<String> version, int tokens) {
        return candidates.of(service, Stage.PREFILL, version, Set.of()).stream()
                .mapToLong(instance -> expectedMillis(instance.identifier(), tokens))
                .min()
                .orElseGet(() -> throughput.expectedMillis(tokens, USUAL_FACTOR));
    }

    /** Records a prefill that an instance has completed, with its duration in milliseconds, its queue included. */
    void record(String identifier, int tokens, long latencyMillis) {
        throughput.record(
                tokens, latencyMillis, reportedFactor(statistics.of(identifier)).orElse(USUAL_FACTOR));
    }

    private OptionalDouble reportedFactor(InstanceStatistics known) {
        return known.reportedLoad().workFactor(clock.monotonicMillis());
    }

    /** Returns the throughput of one instance in tokens per millisecond, 0 before the first prefill has completed. */
    double tokensPerMilli() {
        return throughput.tokensPerMilli();
    }
}
