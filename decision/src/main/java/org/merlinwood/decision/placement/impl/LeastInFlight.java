package org.merlinwood.decision.placement.impl;

import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.decision.placement.PlacementForecast;
import org.merlinwood.decision.placement.PlacementQuery;

/** Fewest requests in flight, of two candidates chosen at random. Predicts no wait. */
final class LeastInFlight implements PlacementCriterion {

    private final UniformRandomProvider random;

    LeastInFlight(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    public Candidate best(List<Candidate> candidates, PlacementQuery query, Set<InstanceName> excluded) {
        Candidate first = null;
        Candidate second = null;
        int usable = 0;
        for (Candidate candidate : candidates) {
            if (candidate.isUsable(query.nowMillis(), excluded)) {
                usable++;
                if (usable == 1) {
                    first = candidate;
                } else if (usable == 2) {
                    second = candidate;
                } else {
                    int replaced = random.nextInt(usable);
                    first = replaced == 0 ? candidate : first;
                    second = replaced == 1 ? candidate : second;
                }
            }
        }
        if (second == null) {
            return first;
        }
        return inFlight(second, query.nowMillis()) < inFlight(first, query.nowMillis()) ? second : first;
    }

    @Override
    public PlacementForecast forecast(Candidate best, List<Candidate> candidates, PlacementQuery query) {
        return PlacementForecast.IMMEDIATE;
    }

    /** Returns this entry's requests plus an estimate of the requests of others, with a random part. */
    private double inFlight(Candidate candidate, long nowMillis) {
        LoadObservation load = candidate.observation();
        double others = Math.max(0, load.running() + load.queued() - candidate.openRequests());
        return candidate.openRequests()
                + candidate.freshness(nowMillis) * others
                + random.nextDouble() * TIE_BREAK_JITTER;
    }
}
