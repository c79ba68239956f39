package org.merlinwood.decision.placement.impl;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.placement.PlacementForecast;
import org.merlinwood.decision.placement.PlacementQuery;
import org.merlinwood.decision.prefix.PrefixBlocks;

/**
 * Fewest prompt tokens to compute until this prompt is complete: the queued tokens plus the tokens of the prompt that
 * are not expected in the cache. A cached prefix therefore never outweighs a longer queue.
 */
final class LeastPrefillWork implements PlacementCriterion {

    private final PrefillHistory history;
    private final Optional<PrefillHistory> asOptional;
    private final UniformRandomProvider random;

    LeastPrefillWork(PrefillHistory history, UniformRandomProvider random) {
        this.history = history;
        this.asOptional = Optional.of(history);
        this.random = random;
    }

    @Override
    public Candidate best(List<Candidate> candidates, PlacementQuery query, Set<InstanceName> excluded) {
        history.match(query.blocks(), query.nowMillis());
        Candidate best = null;
        double bestTokens = Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            if (candidate.isUsable(query.nowMillis(), excluded)) {
                double tokens = cost(candidate, query);
                if (tokens < bestTokens) {
                    best = candidate;
                    bestTokens = tokens;
                }
            }
        }
        return best;
    }

    @Override
    public PlacementForecast forecast(Candidate best, List<Candidate> candidates, PlacementQuery query) {
        double waiting = best.waitingTokens(GrantDemand.TOKENS_PER_PIECE, query.nowMillis());
        double work = uncachedTokens(best, query);
        return new PlacementForecast(history.predictedMillis(waiting), history.predictedMillis(work));
    }

    @Override
    public Optional<PrefillHistory> prefillHistory() {
        return asOptional;
    }

    /** Returns the prompt tokens until the prompt is complete, with the distance as tokens and a random part. */
    private double cost(Candidate candidate, PlacementQuery query) {
        double jitter = random.nextDouble() * TIE_BREAK_JITTER * PrefixBlocks.BLOCK_TOKENS;
        return candidate.waitingTokens(GrantDemand.TOKENS_PER_PIECE, query.nowMillis())
                + uncachedTokens(candidate, query)
                + candidate.distance().prefillTokens()
                + jitter;
    }

    private long uncachedTokens(Candidate candidate, PlacementQuery query) {
        return Math.max(0, query.promptTokens() - history.cachedTokens(candidate.slot()));
    }
}
