package org.merlinwood.decision.placement.impl;

import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.PlacementForecast;
import org.merlinwood.decision.placement.PlacementQuery;

/** Largest free share of memory after the request; if the request does not fit, the shortest predicted wait. */
final class MostFreePieces implements PlacementCriterion {

    private final UniformRandomProvider random;

    MostFreePieces(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    public Candidate best(List<Candidate> candidates, PlacementQuery query, Set<InstanceName> excluded) {
        double poolFreeShare = poolFreeShare(candidates, query.nowMillis());
        Candidate best = null;
        double bestScore = -Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            if (candidate.isUsable(query.nowMillis(), excluded)) {
                double score = score(candidate, query, poolFreeShare);
                if (score > bestScore) {
                    best = candidate;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    @Override
    public PlacementForecast forecast(Candidate best, List<Candidate> candidates, PlacementQuery query) {
        double free = best.freePieces(poolFreeShare(candidates, query.nowMillis()), query.nowMillis());
        boolean fits = free >= query.pieces() && !best.hasQueue(query.nowMillis());
        return fits
                ? PlacementForecast.IMMEDIATE
                : new PlacementForecast(best.expectedWaitMillis(query.nowMillis()), 0);
    }

    /** Returns the free share after the request, or a value below -1 that falls with the wait if it does not fit. */
    private double score(Candidate candidate, PlacementQuery query, double poolFreeShare) {
        double jitter =
                random.nextDouble() * TIE_BREAK_JITTER - candidate.distance().pieceShare();
        double left = candidate.freePieces(poolFreeShare, query.nowMillis()) - query.pieces();
        if (left >= 0 && !candidate.hasQueue(query.nowMillis())) {
            return left / candidate.totalPieces() + jitter;
        }
        double missingShare = Math.max(0, -left) / candidate.totalPieces();
        return jitter - 1 - missingShare - candidate.expectedWaitMillis(query.nowMillis());
    }

    /** Returns the mean free share of the pool, weighted by the freshness of the observations; 1 without any. */
    private static double poolFreeShare(List<Candidate> candidates, long nowMillis) {
        double totalFreshness = 0;
        double weightedShare = 0;
        for (Candidate candidate : candidates) {
            double freshness = candidate.freshness(nowMillis);
            totalFreshness += freshness;
            weightedShare += freshness * candidate.observedFreeShare();
        }
        return totalFreshness == 0 ? 1 : weightedShare / totalFreshness;
    }
}
