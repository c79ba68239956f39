package org.merlinwood.decision.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.decision.placement.impl.Candidate;
import org.merlinwood.decision.placement.impl.CandidateSelection;
import org.merlinwood.decision.placement.impl.PlacementCriterion;
import org.merlinwood.decision.placement.impl.PoolFilter;
import org.merlinwood.decision.placement.impl.PrefillHistory;
import org.merlinwood.decision.placement.impl.ScoredInstance;
import org.merlinwood.decision.prefix.PrefixBlocks;

/**
 * One entry's view of a pool: the instances of a service that have the same role and serve the same model. Chooses the
 * instance for each attempt and predicts waiting times.
 *
 * <p>Tracks at most {@value #MAXIMUM_CANDIDATES} instances of the inventory, so that the memory and time of a placement
 * depend on the entry's own requests and not on the size of the fleet. All state is a hint: it comes from the entry's
 * own work and from the load reported with grants and refusals. A wrong choice costs a refusal and another attempt.
 *
 * <p>Created with the first inventory; each later inventory replaces it through {@link #withInventory}, after which the
 * old pool must not be used. Not thread-safe: used by the entry's control thread only.
 */
public final class UpstreamPool {

    /** Maximum number of candidates of one pool. */
    public static final int MAXIMUM_CANDIDATES = 48;

    private final PoolFilter filter;
    private final CandidateSelection selection;
    private final PlacementCriterion criterion;
    private final Optional<PrefillHistory> prefillHistory;
    private final List<Candidate> candidates;
    private final Map<InstanceName, Candidate> byName;

    // ------------------------------------------------------------------ lifecycle

    private UpstreamPool(
            PoolFilter filter, CandidateSelection selection, PlacementCriterion criterion, List<Candidate> candidates) {
        this.filter = filter;
        this.selection = selection;
        this.criterion = criterion;
        this.prefillHistory = criterion.prefillHistory();
        this.candidates = candidates;
        this.byName = new HashMap<>();
        candidates.forEach(candidate -> byName.put(candidate.instance().name(), candidate));
    }

    /**
     * Creates a pool from an inventory, without any observed load.
     *
     * @param inventory the active inventory
     * @param service the service
     * @param role the role of the instances
     * @param model the model, empty for plain services
     * @param self name of the entry's own instance; seeds the selection of candidates
     * @param ownDomain failure domain of the entry
     * @return the pool
     */
    public static UpstreamPool of(
            Inventory inventory,
            ServiceName service,
            InstanceRole role,
            Optional<ModelName> model,
            InstanceName self,
            FailureDomain ownDomain) {
        long seed = self.value().hashCode();
        UpstreamPool empty = new UpstreamPool(
                new PoolFilter(service, role, model),
                new CandidateSelection(self, ownDomain, MAXIMUM_CANDIDATES),
                PlacementCriterion.forRole(role, RandomSource.XO_RO_SHI_RO_128_PP.create(seed)),
                List.of());
        return empty.withInventory(inventory);
    }

    /**
     * Creates the pool for a later inventory. Instances in both inventories keep their observed load and cached
     * prefixes.
     *
     * @param inventory the inventory that becomes active
     * @return the new pool; this pool must not be used afterwards
     */
    public UpstreamPool withInventory(Inventory inventory) {
        List<ScoredInstance> chosen = selection.choose(inventory, filter);
        BitSet usedSlots = slotsOfRetained(chosen);
        List<Candidate> successors = new ArrayList<>(chosen.size());
        for (ScoredInstance scored : chosen) {
            Candidate known = byName.get(scored.instance().name());
            successors.add(known == null ? newCandidate(scored, usedSlots) : updatedCandidate(known, scored));
        }
        return new UpstreamPool(filter, selection, criterion, successors);
    }

    // ------------------------------------------------------------------ public API

    /**
     * Chooses an instance for one attempt. Records nothing: the caller reports the attempt with {@link #recordStart}.
     *
     * @param query the request
     * @param excluded instances that earlier attempts of this request used
     * @return the instance, or empty if none is eligible
     */
    public Optional<Instance> choose(PlacementQuery query, Set<InstanceName> excluded) {
        Candidate best = criterion.best(candidates, query, excluded);
        return best == null ? Optional.empty() : best.asOptional();
    }

    /**
     * Predicts wait and prefill time of a request at the best instance, without placing it.
     *
     * @param query the request
     * @return the forecast, or empty if no instance is eligible
     */
    public Optional<PlacementForecast> forecast(PlacementQuery query) {
        Candidate best = criterion.best(candidates, query, Set.of());
        return best == null ? Optional.empty() : Optional.of(criterion.forecast(best, candidates, query));
    }

    /**
     * Records a load that was reported with a grant, a refusal or a response. The load reported with a grant includes
     * the granted work, so call {@link #recordStart} first; the load reported with a refusal excludes it, so call
     * {@link #recordEnd} first.
     *
     * @param name the instance; ignored if it is not a candidate
     * @param observation its load
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void observe(InstanceName name, LoadObservation observation, long nowMillis) {
        withCandidate(name, candidate -> candidate.observe(observation, nowMillis));
        prefillHistory.ifPresent(
                history -> history.recordQueue(observation.queuedTokens(), observation.expectedWaitMillis()));
    }

    /**
     * Records an attempt of this entry that is sent to an instance.
     *
     * @param name the instance; ignored if it is not a candidate
     * @param pieces pieces of engine memory that the attempt needs; 1 for plain services
     */
    public void recordStart(InstanceName name, int pieces) {
        withCandidate(name, candidate -> candidate.recordStart(pieces));
    }

    /**
     * Records that an attempt of this entry ended, was refused or was cancelled.
     *
     * @param name the instance; ignored if it is not a candidate
     * @param pieces the value passed to {@link #recordStart}
     */
    public void recordEnd(InstanceName name, int pieces) {
        withCandidate(name, candidate -> candidate.recordEnd(pieces));
    }

    /**
     * Excludes an unreachable or draining instance from placement for a time.
     *
     * @param name the instance; ignored if it is not a candidate
     * @param untilMillis monotonic time at which it becomes eligible again, in milliseconds
     */
    public void avoid(InstanceName name, long untilMillis) {
        withCandidate(name, candidate -> candidate.avoid(untilMillis));
    }

    /**
     * Records a completed prefill: the instance caches its prefixes, and its duration updates the prefill rate.
     *
     * @param name the instance; ignored if it is not a candidate
     * @param blocks the prefixes of the prompt
     * @param computedTokens prompt tokens that the instance computed, excluding cached tokens
     * @param millis time from the execute message to the end of the prefill, in milliseconds
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void recordPrefill(
            InstanceName name, PrefixBlocks blocks, long computedTokens, long millis, long nowMillis) {
        recordCached(name, blocks, nowMillis);
        prefillHistory.ifPresent(history -> history.recordDuration(computedTokens, millis));
    }

    /**
     * Records that an instance has a prompt's prefixes in its cache. This is a hint: the instance may evict them
     * without notice.
     *
     * @param name the instance; ignored if it is not a candidate
     * @param blocks the prefixes
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void recordCached(InstanceName name, PrefixBlocks blocks, long nowMillis) {
        withCandidate(
                name,
                candidate ->
                        prefillHistory.ifPresent(history -> history.recordCached(candidate.slot(), blocks, nowMillis)));
    }

    /**
     * Records that an instance evicted prefixes from its cache.
     *
     * @param name the instance; ignored if it is not a candidate
     * @param blocks the prefixes
     */
    public void recordEviction(InstanceName name, PrefixBlocks blocks) {
        withCandidate(
                name,
                candidate -> prefillHistory.ifPresent(history -> history.recordEviction(candidate.slot(), blocks)));
    }

    /**
     * Returns the names of the candidates, for the state dump.
     *
     * @return the names, in the order of selection
     */
    public List<InstanceName> candidates() {
        return candidates.stream().map(candidate -> candidate.instance().name()).toList();
    }

    // ------------------------------------------------------------------ candidates

    private void withCandidate(InstanceName name, Consumer<Candidate> action) {
        Candidate candidate = byName.get(name);
        if (candidate != null) {
            action.accept(candidate);
        }
    }

    private BitSet slotsOfRetained(List<ScoredInstance> chosen) {
        BitSet slots = new BitSet(MAXIMUM_CANDIDATES);
        for (ScoredInstance scored : chosen) {
            Candidate known = byName.get(scored.instance().name());
            if (known != null) {
                slots.set(known.slot());
            }
        }
        return slots;
    }

    private Candidate newCandidate(ScoredInstance scored, BitSet usedSlots) {
        int slot = usedSlots.nextClearBit(0);
        usedSlots.set(slot);
        prefillHistory.ifPresent(history -> history.clear(slot));
        return new Candidate(scored.instance(), scored.distance(), slot);
    }

    private static Candidate updatedCandidate(Candidate known, ScoredInstance scored) {
        return known.withInstance(scored.instance(), scored.distance());
    }
}
