package org.merlinwood.decision.placement.impl;

import org.merlinwood.configuration.inventory.InstanceRole;

/** The criterion by which a pool compares its candidates. Stateless. */
public sealed interface CandidateScore {

    /** Tokens per piece of engine memory. */
    long TOKENS_PER_PIECE = 2_000;

    /**
     * Returns the criterion for a role.
     *
     * @param role role of the pool
     * @return the criterion
     */
    static CandidateScore forRole(InstanceRole role) {
        return switch (role) {
            case PREFILL -> new LeastPrefillWork();
            case DECODE -> new MostFreePieces();
            case PLAIN, ENTRY -> new LeastInFlight();
        };
    }

    /**
     * Fewest prompt tokens to compute until this prompt is complete: the queued tokens plus the tokens of the prompt
     * that are not expected in the cache. A cached prefix therefore never outweighs a longer queue.
     */
    record LeastPrefillWork() implements CandidateScore {}

    /** Largest free share of memory after the request; if the request does not fit, the shortest predicted wait. */
    record MostFreePieces() implements CandidateScore {}

    /** Fewest requests in flight, of two candidates chosen at random. */
    record LeastInFlight() implements CandidateScore {}
}
