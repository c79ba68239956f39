package org.merlinwood.decision.placement.impl;

import org.merlinwood.configuration.inventory.InstanceRole;

/** How candidates of one kind of pool are compared. Stateless apart from what is passed in. */
public sealed interface CandidateScore {

    /** Tokens that one piece of engine memory holds. */
    long TOKENS_PER_PIECE = 2_000;

    /**
     * Chooses the way to compare candidates.
     *
     * @param role role of the pool
     * @return the way
     */
    static CandidateScore forRole(InstanceRole role) {
        return switch (role) {
            case PREFILL -> new LeastPrefillWork();
            case DECODE -> new MostFreePieces();
            case PLAIN, ENTRY -> new LeastInFlight();
        };
    }

    /**
     * Least prompt tokens to be computed until this prompt is done: those that wait, and those of the prompt that the
     * instance does not seem to have cached. A cached prefix therefore never outweighs a longer queue.
     */
    record LeastPrefillWork() implements CandidateScore {}

    /** Most free pieces after the request; where it does not fit, the shortest predicted wait. */
    record MostFreePieces() implements CandidateScore {}

    /** Fewest calls in flight, of two candidates drawn at random. */
    record LeastInFlight() implements CandidateScore {}
}
