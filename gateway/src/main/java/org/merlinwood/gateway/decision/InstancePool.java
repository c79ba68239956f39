package org.merlinwood.gateway.decision;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/**
 * Chooses instances for requests by load, latency, error rate and failure domain.
 *
 * <p>An instance that failed is not chosen during a pause, which doubles with each consecutive failure. After the pause
 * it gets one request at a time until it responds. If all candidates are paused, the one whose pause ends first is
 * chosen, since it may have recovered. Confined to the event loop.
 */
public final class InstancePool {

    /** Load that is added for an instance in another failure domain, as a fraction of one request. */
    private static final double CROSS_DOMAIN_LOAD = 0.4;

    /** Weight of an error rate in excess of the lowest error rate among the candidates. */
    private static final double ERROR_RATE_WEIGHT = 12;

    /**
     * Number of prompts that may be queued ahead of a prompt at a prefill instance. A decode instance computes two
     * prompts in the time that these take.
     */
    private static final int MAXIMUM_QUEUED_PROMPTS = 3;

    /** Smallest prompt length from which the limit of queued prompt tokens is computed, in tokens. */
    private static final int MINIMUM_QUEUED_PROMPT_TOKENS = 4_000;

    /** Assumed time between two events until an instance has completed its first response, in milliseconds. */
    private static final double DEFAULT_EVENT_INTERVAL_MILLIS = 45;

    private final FleetState fleet;
    private final MillisClock clock;
    private final String ownDomain;
    private final TopChoiceRandomizer randomizer;
    private final Map<String, InstanceStatistics> statisticsByInstance = new HashMap<>();
    private Set<String> switching = Set.of();
    private final PrefillThroughput prefillThroughput = new PrefillThroughput();
    private final InstanceNotices notices;

    /**
     * Creates a pool.
     *
     * @param fleet the registered instances
     * @param clock source of the monotonic time
     * @param ownDomain failure domain of this entry
     * @param seed seed of the random choice among the best instances; must differ between entries
     */
    public InstancePool(FleetState fleet, MillisClock clock, String ownDomain, long seed) {
        this.fleet = fleet;
        this.clock = clock;
        this.ownDomain = ownDomain;
        this.randomizer = new TopChoiceRandomizer(seed);
        this.notices = new InstanceNotices(clock);
    }

    /**
     * Returns what the instances have stated about themselves. Instances that leave or decline are not chosen.
     *
     * @return the live registry
     */
    public InstanceNotices notices() {
        return notices;
    }

    /**
     * Returns when a service will accept requests again, if all its instances of a stage have named a time.
     *
     * @param service name of the service
     * @param stage stage of the instances
     * @return milliseconds from now, greater than 0; empty if an instance accepts requests now or all are leaving
     */
    public OptionalLong millisUntilAccepted(String service, Stage stage) {
        OptionalLong millis = notices.millisUntilAccepted(registered(service, stage));
        return millis.orElse(0) > 0 ? millis : OptionalLong.empty();
    }

    /**
     * Chooses an instance of a plain service.
     *
     * @param service name of the service
     * @param excluded identifiers of instances that were already tried
     * @return the chosen instance, or empty if no candidate is left
     */
    public Optional<UpstreamInstance> choosePlain(String service, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.PLAIN, excluded);
        double lowestErrorRate = lowestErrorRate(candidates);
        double meanMillis = meanMillis(candidates);
        return chooseBest(candidates, instance -> plainScore(instance, lowestErrorRate, meanMillis));
    }

    /**
     * Chooses an instance that generates a response: one with a free slot and enough memory for the response in
     * addition to those in progress.
     *
     * @param service name of the service
     * @param prompt the request
     * @param limits limits of each instance of the service
     * @param excluded identifiers of instances that were already tried
     * @return the chosen instance, or empty if no candidate has enough capacity
     */
    public Optional<UpstreamInstance> chooseDecode(
            String service, Prompt prompt, EngineLimits limits, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.DECODE, excluded);
        double lowestErrorRate = lowestErrorRate(candidates);
        double meanMillis = meanMillis(candidates);
        Map<String, Long> neededTokens = new HashMap<>();
        candidates.forEach(instance -> neededTokens.put(instance.identifier(), neededTokensWith(instance, prompt)));
        List<UpstreamInstance> withCapacity = candidates.stream()
                .filter(instance -> neededTokens.get(instance.identifier()) <= limits.memoryTokens())
                .filter(instance -> hasFreeSlot(instance, limits))
                .filter(instance -> !hasJustDeclined(instance, prompt, limits))
                .toList();
        return chooseBest(withCapacity, instance -> {
            InstanceStatistics statistics = statistics(instance.identifier());
            return neededTokens.get(instance.identifier())
                            * latencyFactor(statistics, meanMillis)
                            * errorFactor(statistics, lowestErrorRate)
                    + domainPenalty(instance, ownDomain) * prompt.promptTokens();
        });
    }

    /**
     * Returns the memory that an instance must have free for a response to be placed there. The instance knows its free
     * memory exactly, this entry only as of the last status messages of the others.
     *
     * @param identifier identifier of the instance
     * @param prompt the request
     * @param limits limits of the instance
     * @return the need, at most the memory of the instance
     */
    public MemoryNeed memoryNeed(String identifier, Prompt prompt, EngineLimits limits) {
        return MemoryNeed.of(statistics(identifier).allGenerations(), newGeneration(prompt), limits);
    }

    /**
     * Records that an instance declined a reservation. For a short time it is not chosen for requests that need as
     * much.
     *
     * @param identifier identifier of the instance
     * @param tokens size of the reservation, in tokens
     */
    public void recordDeclinedReservation(String identifier, int tokens) {
        statistics(identifier).recordDeclinedReservation(tokens, clock.monotonicMillis());
    }

    private boolean hasFreeSlot(UpstreamInstance instance, EngineLimits limits) {
        return statistics(instance.identifier()).allGenerations().size() < limits.slots();
    }

    private boolean hasJustDeclined(UpstreamInstance instance, Prompt prompt, EngineLimits limits) {
        int tokens = memoryNeed(instance.identifier(), prompt, limits).freeTokens();
        return statistics(instance.identifier()).recentlyDeclined(tokens, clock.monotonicMillis());
    }

    private static MemoryForecast.Growth newGeneration(Prompt prompt) {
        return new MemoryForecast.Growth(prompt.promptTokens(), ResponseLengthEstimate.remainingTokens(prompt, 0));
    }

    /**
     * Forecasts when an instance will have enough memory for a response.
     *
     * @param service name of the service
     * @param prompt the request
     * @param limits limits of each instance of the service
     * @return milliseconds from now; if all instances decline requests, the time until one accepts them again; empty if
     *     no instance that accepts work could hold the response
     */
    public OptionalLong millisUntilCapacity(String service, Prompt prompt, EngineLimits limits) {
        long now = clock.monotonicMillis();
        MemoryForecast.Growth next = newGeneration(prompt);
        OptionalLong untilCapacity = candidates(service, Stage.DECODE, Set.of()).stream()
                .map(instance -> statistics(instance.identifier()))
                .filter(statistics -> statistics.acceptsWork(now))
                .map(statistics -> MemoryForecast.millisUntilFits(
                        statistics.allGenerations(), next, limits.memoryTokens(), tokensPerMilli(statistics, limits)))
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .min();
        return untilCapacity.isPresent() ? untilCapacity : millisUntilAccepted(service, Stage.DECODE);
    }

    private static double tokensPerMilli(InstanceStatistics statistics, EngineLimits limits) {
        return limits.tokensPerEvent()
                / (statistics.averageMillis() > 0 ? statistics.averageMillis() : DEFAULT_EVENT_INTERVAL_MILLIS);
    }

    private long neededTokensWith(UpstreamInstance instance, Prompt prompt) {
        List<MemoryForecast.Growth> generations =
                statistics(instance.identifier()).allGenerations();
        generations.add(newGeneration(prompt));
        return MemoryForecast.neededTokens(generations);
    }

    /**
     * Chooses an instance that computes a prompt.
     *
     * <p>No instance is chosen if the queued prompts would take longer at every candidate than a decode instance needs
     * to compute this prompt itself, since the result would come too late to be used.
     *
     * @param service name of the service
     * @param nearDomain failure domain of the decode instance to which the result is transferred
     * @param tokens length of the prompt, in tokens
     * @param excluded identifiers of instances that were already tried
     * @return the chosen instance, or empty if no candidate is left or all queues are too long
     */
    public Optional<UpstreamInstance> choosePrefill(
            String service, String nearDomain, int tokens, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.PREFILL, excluded).stream()
                .filter(instance -> statistics(instance.identifier()).allPromptTokens()
                        <= Math.max(tokens, MINIMUM_QUEUED_PROMPT_TOKENS) * MAXIMUM_QUEUED_PROMPTS)
                .toList();
        double meanMillis = meanMillis(candidates);
        return chooseBest(candidates, instance -> {
            InstanceStatistics statistics = statistics(instance.identifier());
            return (statistics.allPromptTokens() + tokens) * latencyFactor(statistics, meanMillis)
                    + domainPenalty(instance, nearDomain) * tokens;
        });
    }

    /**
     * Estimates how long a prefill takes at an instance, the time in its queue included.
     *
     * @param identifier identifier of the instance
     * @param tokens length of the prompt, in tokens
     * @return milliseconds; a cautious guess before the first prefill has completed at any instance
     */
    public long expectedPrefillMillis(String identifier, int tokens) {
        return prefillThroughput.expectedMillis(statistics(identifier).allPromptTokens() + tokens);
    }

    /**
     * Returns the tokens of the prompts that an instance is known to compute or to have queued.
     *
     * @param identifier identifier of the instance
     * @return number of tokens, the prompts of other entries included
     */
    public int queuedPromptTokens(String identifier) {
        return statistics(identifier).allPromptTokens();
    }

    /**
     * Returns the number of decode instances that accept work, paused ones included.
     *
     * @param service name of the service
     * @return number of instances
     */
    public int decodeInstances(String service) {
        return candidates(service, Stage.DECODE, Set.of()).size();
    }

    /**
     * Sets the number of entries that choose from the same instances.
     *
     * @param count number of entries, this one included
     */
    public void entryCount(int count) {
        randomizer.entryCount(count);
    }

    /**
     * Records the start of a plain request's attempt at an instance.
     *
     * @param identifier identifier of the instance
     */
    public void beginPlainAttempt(String identifier) {
        statistics(identifier).beginPlainAttempt();
    }

    /**
     * Records the end of a plain request's attempt, whatever its outcome.
     *
     * @param identifier identifier of the instance
     */
    public void endPlainAttempt(String identifier) {
        statistics(identifier).endPlainAttempt();
    }

    /**
     * Records that a prompt was sent to an instance.
     *
     * @param identifier identifier of the instance
     * @param tokens length of the prompt, in tokens
     */
    public void beginPrompt(String identifier, int tokens) {
        statistics(identifier).beginPrompt(tokens);
    }

    /**
     * Records that the computation of a prompt ended, whatever its outcome.
     *
     * @param identifier identifier of the instance
     * @param tokens the same length as passed to {@link #beginPrompt}
     */
    public void endPrompt(String identifier, int tokens) {
        statistics(identifier).endPrompt(tokens);
    }

    /**
     * Records that an instance is about to generate a response.
     *
     * @param identifier identifier of the instance
     * @param prompt the request
     * @return the generation; the caller adds the received tokens to it and passes it to {@link #endGeneration}
     */
    public ActiveGeneration beginGeneration(String identifier, Prompt prompt) {
        ActiveGeneration generation = new ActiveGeneration(identifier, prompt);
        statistics(identifier).beginGeneration(generation);
        return generation;
    }

    /**
     * Records that a generation ended, whatever its outcome. Does nothing if it had already ended.
     *
     * @param generation the generation
     */
    public void endGeneration(ActiveGeneration generation) {
        statistics(generation.instance()).endGeneration(generation);
    }

    /**
     * Records a complete and successful response. Ends a pause of the instance.
     *
     * @param identifier identifier of the instance
     * @param latencyMillis time that the response took, in milliseconds; for a generation the time per event
     */
    public void recordSuccess(String identifier, long latencyMillis) {
        statistics(identifier).recordSuccess(latencyMillis);
    }

    /**
     * Records a response that reports an error of the instance or that is not valid for its request. Raises the error
     * rate but does not pause the instance.
     *
     * @param identifier identifier of the instance
     */
    public void recordErrorResponse(String identifier) {
        statistics(identifier).recordErrorResponse(clock.monotonicMillis());
    }

    /**
     * Records that an instance was unreachable, did not respond in time or aborted a response, and pauses it.
     *
     * @param identifier identifier of the instance
     * @return length of the pause, in milliseconds
     */
    public long recordFailure(String identifier) {
        return statistics(identifier).recordFailure(clock.monotonicMillis());
    }

    /**
     * Records that a prompt was computed successfully.
     *
     * @param identifier identifier of the instance
     * @param tokens length of the prompt, in tokens
     * @param latencyMillis time from sending the prompt to the result, in milliseconds, the time in the queue included
     */
    public void recordPrefill(String identifier, int tokens, long latencyMillis) {
        recordSuccess(identifier, latencyMillis);
        prefillThroughput.record(tokens, latencyMillis);
    }

    /**
     * Returns the estimated throughput of one prefill instance without other prompts in its queue.
     *
     * @return tokens per millisecond, 0 before the first prefill has completed
     */
    public double prefillTokensPerMilli() {
        return prefillThroughput.tokensPerMilli();
    }

    /**
     * Sets the instances that are changing their stage. They are not chosen meanwhile.
     *
     * @param identifiers identifiers of the instances; replaces the previous set
     */
    public void switching(Set<String> identifiers) {
        switching = Set.copyOf(identifiers);
    }

    /**
     * Records the load that an instance reported with a response.
     *
     * @param identifier identifier of the instance
     * @param load the load
     */
    public void recordLoad(String identifier, UpstreamLoad load) {
        statistics(identifier).recordLoad(load, clock.monotonicMillis());
    }

    /**
     * Replaces what is known of the work of another entry.
     *
     * @param status status message of that entry
     */
    public void updatePeer(EntryStatus status) {
        removePeer(status.address());
        status.work().forEach(work -> statistics(work.instance()).updatePeer(status.address(), work));
    }

    /**
     * Removes the work of another entry, after its session was lost.
     *
     * @param address peer address of that entry
     */
    public void removePeer(String address) {
        statisticsByInstance.values().forEach(statistics -> statistics.removePeer(address));
    }

    /**
     * Removes the statistics of an instance that is no longer registered, unless it still has work of this entry.
     *
     * @param identifier identifier of the instance
     */
    public void remove(String identifier) {
        InstanceStatistics statistics = statisticsByInstance.get(identifier);
        if (statistics != null && statistics.idle()) {
            statisticsByInstance.remove(identifier);
        }
    }

    /**
     * Returns the work of this entry, to be sent to the other entries.
     *
     * @return one element for each instance with work of this entry
     */
    public List<EntryStatus.InstanceWork> work() {
        return statisticsByInstance.entrySet().stream()
                .filter(entry -> !entry.getValue().idle())
                .map(entry -> entry.getValue().work(entry.getKey()))
                .toList();
    }

    private InstanceStatistics statistics(String identifier) {
        return statisticsByInstance.computeIfAbsent(identifier, ignored -> new InstanceStatistics());
    }

    private List<UpstreamInstance> candidates(String service, Stage stage, Set<String> excluded) {
        return registered(service, stage).stream()
                .filter(instance -> !switching.contains(instance.identifier()))
                .filter(instance -> !excluded.contains(instance.identifier()))
                .filter(notices::mayReceive)
                .toList();
    }

    private List<UpstreamInstance> registered(String service, Stage stage) {
        return fleet.instances(service).stream()
                .filter(instance -> instance.stage() == stage && !instance.leaving())
                .toList();
    }

    private Optional<UpstreamInstance> chooseBest(
            List<UpstreamInstance> candidates, ToDoubleFunction<UpstreamInstance> score) {
        long now = clock.monotonicMillis();
        List<UpstreamInstance> available = candidates.stream()
                .filter(instance -> statistics(instance.identifier()).acceptsWork(now))
                .sorted(Comparator.comparingDouble(score))
                .toList();
        return randomizer
                .pick(available)
                .or(() -> candidates.stream()
                        .min(Comparator.comparingLong(
                                instance -> statistics(instance.identifier()).pausedUntilMillis())));
    }

    private double plainScore(UpstreamInstance instance, double lowestErrorRate, double meanMillis) {
        InstanceStatistics statistics = statistics(instance.identifier());
        double load = 1 + statistics.allRunning(clock.monotonicMillis()) + domainPenalty(instance, ownDomain);
        return load * latencyFactor(statistics, meanMillis) * errorFactor(statistics, lowestErrorRate);
    }

    private double lowestErrorRate(List<UpstreamInstance> candidates) {
        return candidates.stream()
                .mapToDouble(instance -> statistics(instance.identifier()).errorRate(clock.monotonicMillis()))
                .min()
                .orElse(0);
    }

    private double meanMillis(List<UpstreamInstance> candidates) {
        return candidates.stream()
                .mapToDouble(instance -> statistics(instance.identifier()).averageMillis())
                .filter(millis -> millis > 0)
                .average()
                .orElse(0);
    }

    private static double latencyFactor(InstanceStatistics statistics, double meanMillis) {
        if (meanMillis <= 0 || statistics.averageMillis() <= 0) {
            return 1;
        }
        return Math.max(0.5, statistics.averageMillis() / meanMillis);
    }

    private double errorFactor(InstanceStatistics statistics, double lowestErrorRate) {
        return 1 + ERROR_RATE_WEIGHT * Math.max(0, statistics.errorRate(clock.monotonicMillis()) - lowestErrorRate);
    }

    private static double domainPenalty(UpstreamInstance instance, String domain) {
        return instance.domain().equals(domain) ? 0 : CROSS_DOMAIN_LOAD;
    }
}
