package org.merlinwood.decision.placement.impl;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.PlacementForecast;
import org.merlinwood.decision.placement.PlacementQuery;

/**
 * The criterion by which a pool compares its candidates. Kept over all inventories of a pool. Not thread-safe: used by
 * the entry's control thread only.
 */
public sealed interface PlacementCriterion permits LeastPrefillWork, MostFreePieces, LeastInFlight {

    /** Upper bound of the random part of a comparison, as a share of the unit that the criterion compares. */
    double TIE_BREAK_JITTER = 0.02;

    /**
     * Creates the criterion for a role.
     *
     * @param role role of the pool
     * @param random source of the random parts of comparisons; its sequence determines how ties end
     * @return the criterion
     */
    static PlacementCriterion forRole(InstanceRole role, UniformRandomProvider random) {
        return switch (role) {
            case PREFILL -> new LeastPrefillWork(new PrefillHistory(), random);
            case DECODE -> new MostFreePieces(random);
            case PLAIN, ENTRY -> new LeastInFlight(random);
        };
    }

    /**
     * Chooses the best candidate.
     *
     * @param candidates the candidates of the pool
     * @param query the request
     * @param excluded instances that must not be chosen
     * @return the candidate, or null if none may be chosen; not an {@code Optional}, so that a placement allocates
     *     nothing
     */
    Candidate best(List<Candidate> candidates, PlacementQuery query, Set<InstanceName> excluded);

    /**
     * Predicts wait and prefill time of a request.
     *
     * @param best the candidate that the last call of {@link #best} returned for the same query, not null
     * @param candidates the candidates of the pool
     * @param query the request
     * @return the forecast
     */
    PlacementForecast forecast(Candidate best, List<Candidate> candidates, PlacementQuery query);

    /**
     * Returns what the pool has learned from prefills.
     *
     * @return the history, empty unless the criterion compares prefill work
     */
    default Optional<PrefillHistory> prefillHistory() {
        return Optional.empty();
    }
}
