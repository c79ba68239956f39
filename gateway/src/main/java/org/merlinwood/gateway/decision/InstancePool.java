package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
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
 * Chooses instances by load and health.
 *
 * <p>Used by the event loop alone. An instance that failed is left out for a pause that doubles with each failure; then
 * one request at a time tries it. Where every instance is paused, the one whose pause ends first is tried: a bad guess
 * is better than none.
 */
public final class InstancePool {

    /** What crossing failure domains adds to the load of an instance, as a part of one request. */
    private static final double OTHER_DOMAIN_LOAD = 0.4;

    /** How strongly an error share above that of the other instances counts. */
    private static final double ERROR_WEIGHT = 12;

    /** Prompts that may wait before one at a prefill instance; a decode instance takes as long for two. */
    private static final int WAITING_PROMPTS = 3;

    /** Length that a prompt counts with at least when the waiting ones are judged, in tokens. */
    private static final int LEAST_WAITING_TOKENS = 4_000;

    /** Time between two events before any answer of an instance was seen whole, in milliseconds. */
    private static final double USUAL_EVENT_MILLIS = 45;

    /** Prompts whose speed is remembered; the upper quarter of them counts, since most wait for others. */
    private static final int REMEMBERED_SPEEDS = 32;

    private final FleetState fleet;
    private final MillisClock clock;
    private final String ownDomain;
    private final TopChoiceRandomizer spread;
    private final Map<String, InstanceStatistics> records = new HashMap<>();
    private Set<String> switching = Set.of();
    private final ArrayDeque<Double> prefillSpeeds = new ArrayDeque<>();
    private double prefillTokensPerMilli;

    /**
     * Creates a pool.
     *
     * @param fleet the registered instances
     * @param clock the time
     * @param ownDomain failure domain of this entry
     * @param seed differs from entry to entry
     */
    public InstancePool(FleetState fleet, MillisClock clock, String ownDomain, long seed) {
        this.fleet = fleet;
        this.clock = clock;
        this.ownDomain = ownDomain;
        this.spread = new TopChoiceRandomizer(seed);
    }

    // ------------------------------------------------------------------ choices

    /**
     * Chooses an instance of a plain service.
     *
     * @param service name of the service
     * @param excluded identifiers of instances that were tried already
     * @return the best instance, or empty if none is left
     */
    public Optional<UpstreamInstance> choosePlain(String service, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.PLAIN, excluded);
        double lowestError = lowestErrorShare(candidates);
        double meanMillis = meanMillis(candidates);
        return best(candidates, instance -> plainScore(instance, lowestError, meanMillis));
    }

    /**
     * Chooses the instance that is to generate an answer: one whose memory will hold it beside the answers under way.
     *
     * @param service name of the service
     * @param prompt what is asked
     * @param limits what each instance holds
     * @param excluded identifiers of instances that were tried already
     * @return the best instance, or empty if none has room
     */
    public Optional<UpstreamInstance> chooseDecode(
            String service, Prompt prompt, EngineLimits limits, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.DECODE, excluded);
        double lowestError = lowestErrorShare(candidates);
        double meanMillis = meanMillis(candidates);
        Map<String, Long> needs = new HashMap<>();
        candidates.forEach(instance -> needs.put(instance.identifier(), neededWith(instance, prompt)));
        List<UpstreamInstance> roomy = candidates.stream()
                .filter(instance -> needs.get(instance.identifier()) <= limits.memoryTokens())
                .filter(instance ->
                        record(instance.identifier()).allGenerations().size() < limits.slots())
                .toList();
        return best(roomy, instance -> {
            InstanceStatistics record = record(instance.identifier());
            return needs.get(instance.identifier()) * slowness(record, meanMillis) * errorFactor(record, lowestError)
                    + distance(instance, ownDomain) * prompt.promptTokens();
        });
    }

    /**
     * Forecasts when an instance will have room for an answer.
     *
     * @param service name of the service
     * @param prompt what is asked
     * @param limits what each instance holds
     * @return milliseconds from now; empty if no instance takes work that could hold it
     */
    public OptionalLong millisUntilCapacity(String service, Prompt prompt, EngineLimits limits) {
        long now = clock.monotonicMillis();
        MemoryForecast.Growth next =
                new MemoryForecast.Growth(prompt.promptTokens(), ResponseLengthEstimate.remainingTokens(prompt, 0));
        return candidates(service, Stage.DECODE, Set.of()).stream()
                .map(instance -> record(instance.identifier()))
                .filter(record -> record.open(now))
                .map(record -> MemoryForecast.millisUntilFits(
                        record.allGenerations(), next, limits.memoryTokens(), tokensPerMilli(record, limits)))
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .min();
    }

    private static double tokensPerMilli(InstanceStatistics record, EngineLimits limits) {
        return limits.tokensPerEvent() / (record.averageMillis() > 0 ? record.averageMillis() : USUAL_EVENT_MILLIS);
    }

    private long neededWith(UpstreamInstance instance, Prompt prompt) {
        List<MemoryForecast.Growth> answers = record(instance.identifier()).allGenerations();
        answers.add(
                new MemoryForecast.Growth(prompt.promptTokens(), ResponseLengthEstimate.remainingTokens(prompt, 0)));
        return MemoryForecast.neededTokens(answers);
    }

    /**
     * Chooses the instance that is to compute a prompt.
     *
     * <p>Where the prompts that wait everywhere would take longer than a decode instance needs to compute this one by
     * itself, none is chosen: a late result is wasted.
     *
     * @param service name of the service
     * @param nearDomain failure domain of the instance that will take the result over
     * @param tokens length of the prompt
     * @param excluded identifiers of instances that were tried already
     * @return the best instance, or empty if none is left or worth the wait
     */
    public Optional<UpstreamInstance> choosePrefill(
            String service, String nearDomain, int tokens, Set<String> excluded) {
        List<UpstreamInstance> candidates = candidates(service, Stage.PREFILL, excluded).stream()
                .filter(instance -> record(instance.identifier()).allPromptTokens()
                        <= Math.max(tokens, LEAST_WAITING_TOKENS) * WAITING_PROMPTS)
                .toList();
        double meanMillis = meanMillis(candidates);
        return best(candidates, instance -> {
            InstanceStatistics record = record(instance.identifier());
            return (record.allPromptTokens() + tokens) * slowness(record, meanMillis)
                    + distance(instance, nearDomain) * tokens;
        });
    }

    /**
     * Expects how long a prefill takes.
     *
     * @param identifier the instance
     * @param tokens length of the prompt
     * @return milliseconds, or 0 before the first prompt was computed
     */
    public long expectedPrefillMillis(String identifier, int tokens) {
        return prefillTokensPerMilli <= 0
                ? 0
                : Math.round((record(identifier).allPromptTokens() + tokens) / prefillTokensPerMilli);
    }

    /**
     * Counts the instances that generate answers and take work.
     *
     * @param service name of the service
     * @return the count
     */
    public int decodeInstances(String service) {
        return candidates(service, Stage.DECODE, Set.of()).size();
    }

    /**
     * Sets how many entries choose from the same instances.
     *
     * @param count entries, this one included
     */
    public void entryCount(int count) {
        spread.entryCount(count);
    }

    // ------------------------------------------------------------------ work and health

    /**
     * Notes that a plain call was sent to an instance.
     *
     * @param identifier the instance
     */
    public void beginPlainAttempt(String identifier) {
        record(identifier).beginPlainAttempt();
    }

    /**
     * Notes that a plain call ended.
     *
     * @param identifier the instance
     */
    public void endPlainAttempt(String identifier) {
        record(identifier).endPlainAttempt();
    }

    /**
     * Notes that a prompt was sent to an instance.
     *
     * @param identifier the instance
     * @param tokens its length
     */
    public void beginPrompt(String identifier, int tokens) {
        record(identifier).beginPrompt(tokens);
    }

    /**
     * Notes that the computation of a prompt ended.
     *
     * @param identifier the instance
     * @param tokens as given to {@link #beginPrompt}
     */
    public void endPrompt(String identifier, int tokens) {
        record(identifier).endPrompt(tokens);
    }

    /**
     * Notes that an answer is to be generated by an instance.
     *
     * @param identifier the instance
     * @param prompt what was asked
     * @return the answer, to be told of its growth
     */
    public ActiveGeneration beginGeneration(String identifier, Prompt prompt) {
        ActiveGeneration answer = new ActiveGeneration(identifier, prompt);
        record(identifier).beginGeneration(answer);
        return answer;
    }

    /**
     * Notes that an answer ended, in whatever way.
     *
     * @param answer the answer; ending it again has no effect
     */
    public void endGeneration(ActiveGeneration answer) {
        record(answer.instance()).endGeneration(answer);
    }

    /**
     * Notes a whole and successful answer.
     *
     * @param identifier the instance
     * @param tookMillis how long it took, in milliseconds
     */
    public void recordSuccess(String identifier, long tookMillis) {
        record(identifier).recordSuccess(tookMillis);
    }

    /**
     * Notes an answer with which the instance reported a fault of its own.
     *
     * @param identifier the instance
     */
    public void recordErrorResponse(String identifier) {
        record(identifier).recordErrorResponse(clock.monotonicMillis());
    }

    /**
     * Notes that an instance was unreachable, silent or broke an answer off.
     *
     * @param identifier the instance
     * @return how long it gets no new work, in milliseconds
     */
    public long recordFailure(String identifier) {
        return record(identifier).recordFailure(clock.monotonicMillis());
    }

    /**
     * Notes that a prompt was computed.
     *
     * @param identifier the instance
     * @param tokens its length
     * @param tookMillis how long it took, waiting included, in milliseconds
     */
    public void recordPrefill(String identifier, int tokens, long tookMillis) {
        recordSuccess(identifier, tookMillis);
        prefillSpeeds.addLast(tokens / (double) Math.max(1, tookMillis));
        if (prefillSpeeds.size() > REMEMBERED_SPEEDS) {
            prefillSpeeds.removeFirst();
        }
        List<Double> sorted = prefillSpeeds.stream().sorted().toList();
        prefillTokensPerMilli = sorted.get(sorted.size() * 3 / 4);
    }

    /**
     * Returns what one prefill instance computes when it is not shared.
     *
     * @return tokens in a millisecond, 0 before the first prompt
     */
    public double prefillTokensPerMilli() {
        return prefillTokensPerMilli;
    }

    /**
     * Sets the instances that are changing their stage and take no work meanwhile.
     *
     * @param identifiers the instances
     */
    public void switching(Set<String> identifiers) {
        switching = Set.copyOf(identifiers);
    }

    /**
     * Notes the load that an instance told of.
     *
     * @param identifier the instance
     * @param load the load
     */
    public void recordLoad(String identifier, UpstreamLoad load) {
        record(identifier).recordLoad(load, clock.monotonicMillis());
    }

    /**
     * Notes the work of another entry.
     *
     * @param news its news
     */
    public void updatePeer(EntryStatus news) {
        removePeer(news.address());
        news.work().forEach(work -> record(work.instance()).updatePeer(news.address(), work));
    }

    /**
     * Forgets the work of another entry.
     *
     * @param address its peer address
     */
    public void removePeer(String address) {
        records.values().forEach(record -> record.removePeer(address));
    }

    /**
     * Forgets an instance that is gone.
     *
     * @param identifier the instance
     */
    public void remove(String identifier) {
        InstanceStatistics known = records.get(identifier);
        if (known != null && known.idle()) {
            records.remove(identifier);
        }
    }

    /**
     * Returns the work of this entry, for its peers.
     *
     * @return the work at each instance that has some
     */
    public List<EntryStatus.InstanceWork> work() {
        return records.entrySet().stream()
                .filter(entry -> !entry.getValue().idle())
                .map(entry -> entry.getValue().work(entry.getKey()))
                .toList();
    }

    // ------------------------------------------------------------------ internals

    private InstanceStatistics record(String identifier) {
        return records.computeIfAbsent(identifier, ignored -> new InstanceStatistics());
    }

    private List<UpstreamInstance> candidates(String service, Stage stage, Set<String> excluded) {
        return fleet.instances(service).stream()
                .filter(instance -> instance.stage() == stage)
                .filter(instance -> !instance.leaving() && !switching.contains(instance.identifier()))
                .filter(instance -> !excluded.contains(instance.identifier()))
                .toList();
    }

    private Optional<UpstreamInstance> best(
            List<UpstreamInstance> candidates, ToDoubleFunction<UpstreamInstance> score) {
        long now = clock.monotonicMillis();
        List<UpstreamInstance> open = candidates.stream()
                .filter(instance -> record(instance.identifier()).open(now))
                .sorted(Comparator.comparingDouble(score))
                .toList();
        return spread.pick(open)
                .or(() -> candidates.stream()
                        .min(Comparator.comparingLong(
                                instance -> record(instance.identifier()).pausedUntilMillis())));
    }

    private double plainScore(UpstreamInstance instance, double lowestError, double meanMillis) {
        InstanceStatistics record = record(instance.identifier());
        double load = 1 + record.allRunning(clock.monotonicMillis()) + distance(instance, ownDomain);
        return load * slowness(record, meanMillis) * errorFactor(record, lowestError);
    }

    private double lowestErrorShare(List<UpstreamInstance> candidates) {
        return candidates.stream()
                .mapToDouble(instance -> record(instance.identifier()).errorShare(clock.monotonicMillis()))
                .min()
                .orElse(0);
    }

    private double meanMillis(List<UpstreamInstance> candidates) {
        return candidates.stream()
                .mapToDouble(instance -> record(instance.identifier()).averageMillis())
                .filter(millis -> millis > 0)
                .average()
                .orElse(0);
    }

    private static double slowness(InstanceStatistics record, double meanMillis) {
        if (meanMillis <= 0 || record.averageMillis() <= 0) {
            return 1;
        }
        return Math.max(0.5, record.averageMillis() / meanMillis);
    }

    private double errorFactor(InstanceStatistics record, double lowestError) {
        return 1 + ERROR_WEIGHT * Math.max(0, record.errorShare(clock.monotonicMillis()) - lowestError);
    }

    private static double distance(UpstreamInstance instance, String domain) {
        return instance.domain().equals(domain) ? 0 : OTHER_DOMAIN_LOAD;
    }
}
