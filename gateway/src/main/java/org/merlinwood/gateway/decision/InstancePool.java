package org.merlinwood.gateway.decision;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/**
 * The instances as one entry sees them: chooses instances for requests, and records what their requests show of their
 * load and health.
 *
 * <p>Which instances may get a request at all is decided by {@link InstanceCandidates}, which of them is the best one
 * by a placement for each stage and by {@link InstanceRanking}. Confined to the event loop.
 */
public final class InstancePool {

    private final MillisClock clock;
    private final InstanceNotices notices;
    private final FleetStatistics statistics = new FleetStatistics();
    private final SharedWork sharedWork;
    private final PlainForecasts plainForecasts;
    private final InstanceCandidates candidates;
    private final InstanceRanking ranking;
    private final PlainPlacement plainPlacement;
    private final DecodePlacement decodePlacement;
    private final PrefillPlacement prefillPlacement;
    private final MemoryRoom memoryRoom;

    /**
     * Creates a pool.
     *
     * @param fleet the registered instances
     * @param clock source of the monotonic time
     * @param ownDomain failure domain of this entry
     * @param seed seed of the random choice among the best instances; must differ between entries
     */
    public InstancePool(FleetState fleet, MillisClock clock, String ownDomain, long seed) {
        this.clock = clock;
        this.notices = new InstanceNotices(fleet, clock);
        this.candidates = new InstanceCandidates(fleet, notices);
        this.ranking = new InstanceRanking(statistics, clock, seed);
        this.sharedWork = new SharedWork(statistics, clock);
        this.plainForecasts = new PlainForecasts(fleet, candidates, statistics, ranking, clock, ownDomain);
        this.plainPlacement =
                new PlainPlacement(candidates, statistics, ranking, plainForecasts, clock, ownDomain, seed);
        this.decodePlacement = new DecodePlacement(candidates, statistics, ranking, clock, ownDomain);
        this.prefillPlacement = new PrefillPlacement(candidates, statistics, ranking, clock);
        this.memoryRoom = new MemoryRoom(decodePlacement, prefillPlacement, statistics, clock);
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
     * Returns the work that entries report to each other.
     *
     * @return the live work, which the choices of this pool take into account
     */
    public SharedWork sharedWork() {
        return sharedWork;
    }

    /**
     * Returns the forecasts for plain services whose instances report their speed.
     *
     * @return the live forecasts, by which instances of these services are chosen
     */
    public PlainForecasts plainForecasts() {
        return plainForecasts;
    }

    /**
     * Returns what the ranking of waiting requests asks about the instances.
     *
     * @return the live view
     */
    public MemoryRoom memoryRoom() {
        return memoryRoom;
    }

    /**
     * Returns when a service will accept requests again, if all its instances of a stage have named a time.
     *
     * @param service name of the service
     * @param stage stage of the instances
     * @return milliseconds from now, greater than 0; empty if an instance accepts requests now or all are leaving
     */
    public OptionalLong millisUntilAccepted(String service, Stage stage) {
        return candidates.millisUntilAccepted(service, stage, Optional.empty());
    }

    /**
     * Chooses an instance of a plain service.
     *
     * @param service name of the service
     * @param version software version that the instance must run; empty for any version
     * @param excluded identifiers of instances that were already tried
     * @return the chosen instance, or empty if no candidate is left
     */
    public Optional<UpstreamInstance> choosePlain(String service, Optional<String> version, Set<String> excluded) {
        return plainPlacement.choose(service, version, excluded);
    }

    /**
     * Chooses an instance that generates a response: one with a free slot and enough memory for the response in
     * addition to those in progress.
     *
     * @param service name of the service
     * @param pending the response
     * @param limits limits of each instance of the service
     * @param excluded identifiers of instances that were already tried
     * @return the chosen instance, or empty if no candidate has enough capacity
     */
    public Optional<UpstreamInstance> chooseDecode(
            String service, PendingGeneration pending, EngineLimits limits, Set<String> excluded) {
        return decodePlacement.choose(service, pending, limits, excluded);
    }

    /**
     * Returns the memory that an instance must have free for a response to be placed there. The instance knows its free
     * memory exactly, this entry only as of the last status messages of the others.
     *
     * @param identifier identifier of the instance
     * @param pending the response
     * @param limits limits of the instance
     * @return the need, at most the memory of the instance
     */
    public MemoryNeed memoryNeed(String identifier, PendingGeneration pending, EngineLimits limits) {
        return decodePlacement.memoryNeed(identifier, pending, limits);
    }

    /**
     * Records that an instance declined a reservation. For a short time it is not chosen for requests that need as
     * much.
     *
     * @param identifier identifier of the instance
     * @param tokens size of the reservation, in tokens
     */
    public void recordDeclinedReservation(String identifier, int tokens) {
        statistics.of(identifier).recordDeclinedReservation(tokens, clock.monotonicMillis());
    }

    /**
     * Forecasts when an instance will have enough memory for a response.
     *
     * @param service name of the service
     * @param pending the response
     * @param limits limits of each instance of the service
     * @return milliseconds from now; if all instances decline requests, the time until one accepts them again; empty if
     *     no instance that accepts work could hold the response
     */
    public OptionalLong millisUntilCapacity(String service, PendingGeneration pending, EngineLimits limits) {
        return decodePlacement.millisUntilCapacity(service, pending, limits);
    }

    /**
     * Chooses an instance that computes a prompt.
     *
     * <p>No instance is chosen if the queued prompts would take longer at every candidate than a decode instance needs
     * to compute this prompt itself, since the result would come too late to be used.
     *
     * @param service name of the service
     * @param version software version that the instance must run; empty for any version
     * @param nearDomain failure domain of the decode instance to which the result is transferred
     * @param tokens length of the prompt, in tokens
     * @param excluded identifiers of instances that were already tried
     * @return the chosen instance, or empty if no candidate is left or all queues are too long
     */
    public Optional<UpstreamInstance> choosePrefill(
            String service, Optional<String> version, String nearDomain, int tokens, Set<String> excluded) {
        return prefillPlacement.choose(service, version, nearDomain, tokens, excluded);
    }

    /**
     * Estimates how long a prefill takes at an instance, the time in its queue included.
     *
     * @param identifier identifier of the instance
     * @param tokens length of the prompt, in tokens
     * @return milliseconds; a cautious guess before the first prefill has completed at any instance
     */
    public long expectedPrefillMillis(String identifier, int tokens) {
        return prefillPlacement.expectedMillis(identifier, tokens);
    }

    /**
     * Returns the tokens of the prompts that an instance is known to compute or to have queued.
     *
     * @param identifier identifier of the instance
     * @return number of tokens, the prompts of other entries included
     */
    public int queuedPromptTokens(String identifier) {
        return statistics.of(identifier).allPromptTokens();
    }

    /**
     * Returns the number of decode instances that accept work, paused ones included.
     *
     * @param service name of the service
     * @param version software version of the instances; empty for any version
     * @return number of instances
     */
    public int decodeInstances(String service, Optional<String> version) {
        return candidates.of(service, Stage.DECODE, version, Set.of()).size();
    }

    /**
     * Returns whether no instance of a stage runs a software version any more, though instances of other versions do.
     * If there is no instance at all, what is known of the instances is taken to be incomplete.
     *
     * @param service name of the service
     * @param stage stage of the instances that send streams of the service
     * @param version the software version
     * @return true if a stream of that version can't go on
     */
    public boolean isVersionGone(String service, Stage stage, String version) {
        return candidates.isVersionGone(service, stage, version);
    }

    /**
     * Sets the number of entries that choose from the same instances.
     *
     * @param count number of entries, this one included
     */
    public void entryCount(int count) {
        ranking.entryCount(count);
    }

    /**
     * Records the start of a plain request's attempt at an instance.
     *
     * @param identifier identifier of the instance
     * @return the attempt; the caller passes it to the methods below
     */
    public ActivePlainAttempt beginPlainAttempt(String identifier) {
        ActivePlainAttempt attempt =
                new ActivePlainAttempt(identifier, clock.monotonicMillis(), plainForecasts.forecast(identifier));
        statistics.of(identifier).beginPlainAttempt(attempt);
        return attempt;
    }

    /**
     * Records that the head of the response to an attempt was read, whatever it states.
     *
     * @param attempt the attempt
     */
    public void recordPlainResponse(ActivePlainAttempt attempt) {
        statistics.of(attempt.instance()).recordPlainResponse(attempt);
    }

    /**
     * Records that an attempt has no response any more: it was not sent, or its connection was lost. Called before its
     * end.
     *
     * @param attempt the attempt
     */
    public void recordNoResponse(ActivePlainAttempt attempt) {
        attempt.excludeFurtherResponse();
    }

    /**
     * Records the end of a plain request's attempt, whatever its outcome. Called once.
     *
     * @param attempt the attempt
     */
    public void endPlainAttempt(ActivePlainAttempt attempt) {
        statistics.of(attempt.instance()).endPlainAttempt(attempt);
    }

    /**
     * Records that a prompt was sent to an instance.
     *
     * @param identifier identifier of the instance
     * @param tokens length of the prompt, in tokens
     */
    public void beginPrompt(String identifier, int tokens) {
        statistics.of(identifier).beginPrompt(tokens);
        sharedWork.recordChange(identifier);
    }

    /**
     * Records that the computation of a prompt ended, whatever its outcome.
     *
     * @param identifier identifier of the instance
     * @param tokens the same length as passed to {@link #beginPrompt}
     */
    public void endPrompt(String identifier, int tokens) {
        statistics.of(identifier).endPrompt(tokens);
        sharedWork.recordChange(identifier);
    }

    /**
     * Records that an instance is about to generate a response.
     *
     * @param identifier identifier of the instance
     * @param pending the response
     * @return the generation; the caller adds the received tokens to it and passes it to {@link #endGeneration}
     */
    public ActiveGeneration beginGeneration(String identifier, PendingGeneration pending) {
        ActiveGeneration generation = new ActiveGeneration(identifier, pending);
        statistics.of(identifier).beginGeneration(generation);
        sharedWork.recordChange(identifier);
        return generation;
    }

    /**
     * Records that a generation ended, whatever its outcome. Does nothing if it had already ended.
     *
     * @param generation the generation
     */
    public void endGeneration(ActiveGeneration generation) {
        statistics.of(generation.instance()).endGeneration(generation);
        sharedWork.recordChange(generation.instance());
    }

    /**
     * Records a complete and successful response. Ends a pause of the instance.
     *
     * @param identifier identifier of the instance
     * @param latencyMillis time that the response took, in milliseconds; for a generation the time per event
     */
    public void recordSuccess(String identifier, long latencyMillis) {
        statistics.of(identifier).recordSuccess(latencyMillis);
    }

    /**
     * Records a response that reports an error of the instance or that is not valid for its request. Raises the error
     * rate but does not pause the instance.
     *
     * @param identifier identifier of the instance
     */
    public void recordErrorResponse(String identifier) {
        statistics.of(identifier).recordErrorResponse(clock.monotonicMillis());
    }

    /**
     * Records that an instance was unreachable, did not respond in time or aborted a response, and pauses it.
     *
     * @param identifier identifier of the instance
     * @return length of the pause, in milliseconds
     */
    public long recordFailure(String identifier) {
        return statistics.of(identifier).recordFailure(clock.monotonicMillis());
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
        prefillPlacement.record(identifier, tokens, latencyMillis);
    }

    /**
     * Returns the estimated throughput of one prefill instance without other prompts in its queue.
     *
     * @return tokens per millisecond, 0 before the first prefill has completed
     */
    public double prefillTokensPerMilli() {
        return prefillPlacement.tokensPerMilli();
    }

    /**
     * Sets the instances that are changing their stage. They are not chosen meanwhile.
     *
     * @param identifiers identifiers of the instances; replaces the previous set
     */
    public void switching(Set<String> identifiers) {
        candidates.switching(identifiers);
    }

    /**
     * Records the load that an instance reported with a response.
     *
     * @param identifier identifier of the instance
     * @param load the load
     */
    public void recordLoad(String identifier, UpstreamLoad load) {
        statistics.of(identifier).recordLoad(load, clock.monotonicMillis());
        plainForecasts.recordLoad(identifier, load);
    }

    /**
     * Removes the statistics of an instance that is no longer registered, unless it still has work of this entry.
     *
     * @param identifier identifier of the instance
     */
    public void remove(String identifier) {
        statistics.remove(identifier);
    }
}
