package org.merlinwood.decision.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.decision.placement.impl.Candidate;
import org.merlinwood.decision.placement.impl.CandidateScore;
import org.merlinwood.decision.placement.impl.CandidateSelection;
import org.merlinwood.decision.placement.impl.PoolFilter;
import org.merlinwood.decision.placement.impl.ScoredInstance;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.prefix.PrefixIndex;

/**
 * What one entry knows of one pool: the instances of a service that have the same role and carry the same model.
 *
 * <p>Holds at most {@value #MAXIMUM_CANDIDATES} instances of the inventory, so that memory and time of a placement
 * follow the entry's own requests and not the size of the fleet. All knowledge is soft: it comes from own work and from
 * the load that rides on grants and refusals, and a wrong choice costs a refusal and another attempt.
 *
 * <p>Lives from the first inventory until the entry ends; {@link #withInventory} replaces it by a successor, after
 * which the older one must not be used. Not thread-safe: used by the entry's control thread only.
 */
public final class UpstreamPool {

    /** Candidates of one pool at most. */
    public static final int MAXIMUM_CANDIDATES = 48;

    private static final int PREFIX_ROWS = 1 << 15;
    private static final long PREFIX_LIFE_MILLIS = 600_000;
    private static final double DEFAULT_PREFILL_TOKENS_PER_MILLI = 8;
    private static final long LEAST_TOKENS_FOR_RATE = 256;
    private static final double RATE_GAIN = 0.1;
    private static final double TIE_SPREAD = 0.02;

    private final PoolFilter filter;
    private final CandidateSelection selection;
    private final CandidateScore score;
    private final List<Candidate> candidates;
    private final Map<InstanceName, Candidate> byName;
    private final Optional<PrefixIndex> prefixIndex;
    private final UniformRandomProvider random;
    private final int[] matchedBlocks = new int[PrefixIndex.MAXIMUM_HOLDERS];
    private double prefillTokensPerMilli = DEFAULT_PREFILL_TOKENS_PER_MILLI;
    private boolean rateKnown;

    // ------------------------------------------------------------------ life-cycle

    private UpstreamPool(
            PoolFilter filter,
            CandidateSelection selection,
            List<Candidate> candidates,
            Optional<PrefixIndex> prefixIndex,
            UniformRandomProvider random) {
        this.filter = filter;
        this.selection = selection;
        this.score = CandidateScore.forRole(filter.role());
        this.candidates = candidates;
        this.byName = new HashMap<>();
        candidates.forEach(candidate -> byName.put(candidate.instance().name(), candidate));
        this.prefixIndex = prefixIndex;
        this.random = random;
    }

    /**
     * Creates a pool of which nothing is known but the inventory.
     *
     * @param inventory the inventory in force
     * @param service the service
     * @param role the role of the instances
     * @param model the model, empty for plain services
     * @param self name of the entry's own instance, which the choice of candidates depends on
     * @param own failure domain of the entry
     * @return the pool
     */
    public static UpstreamPool of(
            Inventory inventory,
            ServiceName service,
            InstanceRole role,
            Optional<ModelName> model,
            InstanceName self,
            FailureDomain own) {
        Optional<PrefixIndex> index = role == InstanceRole.PREFILL
                ? Optional.of(new PrefixIndex(PREFIX_ROWS, PREFIX_LIFE_MILLIS))
                : Optional.empty();
        long seed = self.value().hashCode();
        UpstreamPool empty = new UpstreamPool(
                new PoolFilter(service, role, model),
                new CandidateSelection(self, own, MAXIMUM_CANDIDATES),
                List.of(),
                index,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        return empty.withInventory(inventory);
    }

    /**
     * Creates the successor for a later inventory, which takes over what is known of instances that remain.
     *
     * @param inventory the inventory in force from now on
     * @return the successor; this pool must not be used any more
     */
    public UpstreamPool withInventory(Inventory inventory) {
        List<ScoredInstance> chosen = selection.choose(inventory, filter);
        BitSet usedSlots = slotsOfRemaining(chosen);
        List<Candidate> successors = new ArrayList<>(chosen.size());
        for (ScoredInstance scored : chosen) {
            Candidate known = byName.get(scored.instance().name());
            successors.add(known == null ? newCandidate(scored, usedSlots) : renewed(known, scored));
        }
        UpstreamPool successor = new UpstreamPool(filter, selection, successors, prefixIndex, random);
        successor.prefillTokensPerMilli = prefillTokensPerMilli;
        successor.rateKnown = rateKnown;
        return successor;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Chooses an instance for one attempt. For prefill pools it also remembers that the prompt's prefixes will be
     * there.
     *
     * @param query the request
     * @param excluded instances that an earlier attempt of this request met
     * @return the instance, or empty if none may be used
     */
    public Optional<Instance> choose(PlacementQuery query, Set<InstanceName> excluded) {
        Candidate best = best(query, excluded);
        return best == null ? Optional.empty() : best.asAnswer();
    }

    /**
     * Predicts what a request would meet now, without placing it.
     *
     * @param query the request
     * @return the forecast, or empty if no instance may be used
     */
    public Optional<PlacementForecast> forecast(PlacementQuery query) {
        Candidate best = best(query, Set.of());
        return best == null ? Optional.empty() : Optional.of(forecast(best, query));
    }

    /**
     * Notes a load that rode on a grant, a refusal or an answer. After a grant the load has the granted work in it, so
     * call {@link #recordStart} before; after a refusal it has not, so call {@link #recordEnd} before.
     *
     * @param name the instance; ignored if it is no candidate
     * @param observation its load
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void observe(InstanceName name, LoadObservation observation, long nowMillis) {
        withCandidate(name, candidate -> candidate.observe(observation, nowMillis));
        if (observation.queuedTokens() > 0 && observation.expectedWaitMillis() > 0) {
            learnRate((double) observation.queuedTokens() / observation.expectedWaitMillis());
        }
    }

    /**
     * Notes own work that is on its way to an instance or runs there.
     *
     * @param name the instance; ignored if it is no candidate
     * @param pieces pieces of engine memory that it takes, 1 for plain services
     */
    public void recordStart(InstanceName name, int pieces) {
        withCandidate(name, candidate -> candidate.started(pieces));
    }

    /**
     * Notes that own work ended, was refused or given up.
     *
     * @param name the instance; ignored if it is no candidate
     * @param pieces as given to {@link #recordStart}
     */
    public void recordEnd(InstanceName name, int pieces) {
        withCandidate(name, candidate -> candidate.ended(pieces));
    }

    /**
     * Leaves an instance out that can't be reached or drains.
     *
     * @param name the instance; ignored if it is no candidate
     * @param untilMillis monotonic time from which it is considered again, in milliseconds
     */
    public void avoid(InstanceName name, long untilMillis) {
        withCandidate(name, candidate -> candidate.avoid(untilMillis));
    }

    /**
     * Notes a prefill that was completed: where its prefixes are cached now, and how fast it was.
     *
     * @param name the instance; ignored if it is no candidate
     * @param blocks the prefixes of the prompt
     * @param computedTokens prompt tokens that the instance computed, without those that it had cached
     * @param millis from execute to the end of the prefill, in milliseconds
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void recordPrefill(
            InstanceName name, PrefixBlocks blocks, long computedTokens, long millis, long nowMillis) {
        recordCached(name, blocks, nowMillis);
        if (computedTokens >= LEAST_TOKENS_FOR_RATE && millis > 0) {
            learnRate((double) computedTokens / millis);
        }
    }

    /**
     * Notes that an instance has a prompt's prefixes in its cache. A hint.
     *
     * @param name the instance; ignored if it is no candidate
     * @param blocks the prefixes
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void recordCached(InstanceName name, PrefixBlocks blocks, long nowMillis) {
        withCandidate(
                name,
                candidate -> prefixIndex.ifPresent(index -> index.recordStored(candidate.slot(), blocks, nowMillis)));
    }

    /**
     * Notes that an instance evicted prefixes. A hint.
     *
     * @param name the instance; ignored if it is no candidate
     * @param blocks the prefixes
     */
    public void recordEviction(InstanceName name, PrefixBlocks blocks) {
        withCandidate(
                name,
                candidate -> prefixIndex.ifPresent(
                        index -> blocks.hashes().forEach(hash -> index.recordEviction(candidate.slot(), hash))));
    }

    /**
     * Returns the instances that this entry uses, for the state dump.
     *
     * @return the candidates
     */
    public List<InstanceName> candidates() {
        return candidates.stream().map(candidate -> candidate.instance().name()).toList();
    }

    // ------------------------------------------------------------------ internals: choice

    private Candidate best(PlacementQuery query, Set<InstanceName> excluded) {
        return switch (score) {
            case CandidateScore.LeastPrefillWork prefill -> leastPrefillWork(query, excluded);
            case CandidateScore.MostFreePieces decode -> mostFreePieces(query, excluded);
            case CandidateScore.LeastInFlight plain -> leastInFlight(query, excluded);
        };
    }

    private Candidate leastPrefillWork(PlacementQuery query, Set<InstanceName> excluded) {
        matchPrefixes(query);
        Candidate best = null;
        double bestTokens = Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            if (isUsable(candidate, query, excluded)) {
                double tokens = prefillCost(candidate, query);
                if (tokens < bestTokens) {
                    best = candidate;
                    bestTokens = tokens;
                }
            }
        }
        return best;
    }

    private double prefillCost(Candidate candidate, PlacementQuery query) {
        double spread = random.nextDouble() * TIE_SPREAD * PrefixBlocks.BLOCK_TOKENS;
        return candidate.waitingTokens(CandidateScore.TOKENS_PER_PIECE, query.nowMillis())
                + uncachedTokens(candidate, query)
                + candidate.distance().prefillTokens()
                + spread;
    }

    private long uncachedTokens(Candidate candidate, PlacementQuery query) {
        long cached = (long) matchedBlocks[candidate.slot()] * PrefixBlocks.BLOCK_TOKENS;
        return Math.max(0, query.promptTokens() - cached);
    }

    private void matchPrefixes(PlacementQuery query) {
        if (prefixIndex.isPresent()) {
            prefixIndex.get().match(query.blocks(), query.nowMillis(), matchedBlocks);
        }
    }

    private Candidate mostFreePieces(PlacementQuery query, Set<InstanceName> excluded) {
        double poolFreeShare = poolFreeShare(query.nowMillis());
        Candidate best = null;
        double bestScore = -Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            if (isUsable(candidate, query, excluded)) {
                double candidateScore = decodeScore(candidate, query, poolFreeShare);
                if (candidateScore > bestScore) {
                    best = candidate;
                    bestScore = candidateScore;
                }
            }
        }
        return best;
    }

    private double decodeScore(Candidate candidate, PlacementQuery query, double poolFreeShare) {
        double spread = random.nextDouble() * TIE_SPREAD - candidate.distance().pieceShare();
        double left = candidate.freePieces(poolFreeShare, query.nowMillis()) - query.pieces();
        if (left >= 0 && !candidate.hasQueue(query.nowMillis())) {
            return left / candidate.totalPieces() + spread;
        }
        double missingShare = Math.max(0, -left) / candidate.totalPieces();
        return spread - 1 - missingShare - candidate.expectedWaitMillis(query.nowMillis());
    }

    private double poolFreeShare(long nowMillis) {
        double believed = 0;
        double share = 0;
        for (Candidate candidate : candidates) {
            double freshness = candidate.freshness(nowMillis);
            believed += freshness;
            share += freshness * candidate.observedFreeShare();
        }
        return believed == 0 ? 1 : share / believed;
    }

    private Candidate leastInFlight(PlacementQuery query, Set<InstanceName> excluded) {
        Candidate first = null;
        Candidate second = null;
        int usable = 0;
        for (Candidate candidate : candidates) {
            if (isUsable(candidate, query, excluded)) {
                usable++;
                if (usable == 1) {
                    first = candidate;
                } else if (usable == 2) {
                    second = candidate;
                } else {
                    int place = random.nextInt(usable);
                    first = place == 0 ? candidate : first;
                    second = place == 1 ? candidate : second;
                }
            }
        }
        if (second == null) {
            return first;
        }
        return inFlight(second, query.nowMillis()) < inFlight(first, query.nowMillis()) ? second : first;
    }

    private double inFlight(Candidate candidate, long nowMillis) {
        LoadObservation load = candidate.observation();
        double others = Math.max(0, load.running() + load.queued() - candidate.openRequests());
        return candidate.openRequests() + candidate.freshness(nowMillis) * others + random.nextDouble() * TIE_SPREAD;
    }

    private static boolean isUsable(Candidate candidate, PlacementQuery query, Set<InstanceName> excluded) {
        return candidate.isEligible(query.nowMillis())
                && !excluded.contains(candidate.instance().name());
    }

    // ------------------------------------------------------------------ internals: forecast

    private PlacementForecast forecast(Candidate candidate, PlacementQuery query) {
        return switch (score) {
            case CandidateScore.LeastPrefillWork prefill -> prefillForecast(candidate, query);
            case CandidateScore.MostFreePieces decode -> decodeForecast(candidate, query);
            case CandidateScore.LeastInFlight plain -> PlacementForecast.IMMEDIATE;
        };
    }

    private PlacementForecast prefillForecast(Candidate candidate, PlacementQuery query) {
        double waiting = candidate.waitingTokens(CandidateScore.TOKENS_PER_PIECE, query.nowMillis());
        long work = uncachedTokens(candidate, query);
        return new PlacementForecast(
                Math.round(waiting / prefillTokensPerMilli), Math.round(work / prefillTokensPerMilli));
    }

    private PlacementForecast decodeForecast(Candidate candidate, PlacementQuery query) {
        double free = candidate.freePieces(poolFreeShare(query.nowMillis()), query.nowMillis());
        boolean fits = free >= query.pieces() && !candidate.hasQueue(query.nowMillis());
        return fits
                ? PlacementForecast.IMMEDIATE
                : new PlacementForecast(candidate.expectedWaitMillis(query.nowMillis()), 0);
    }

    private void learnRate(double tokensPerMilli) {
        double gain = rateKnown ? RATE_GAIN : 1;
        rateKnown = true;
        prefillTokensPerMilli += gain * (tokensPerMilli - prefillTokensPerMilli);
    }

    // ------------------------------------------------------------------ internals: candidates

    private void withCandidate(InstanceName name, Consumer<Candidate> action) {
        Candidate candidate = byName.get(name);
        if (candidate != null) {
            action.accept(candidate);
        }
    }

    private BitSet slotsOfRemaining(List<ScoredInstance> chosen) {
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
        prefixIndex.ifPresent(index -> index.remove(slot));
        return new Candidate(scored.instance(), scored.distance(), slot);
    }

    private static Candidate renewed(Candidate known, ScoredInstance scored) {
        return known.withInstance(scored.instance(), scored.distance());
    }
}
