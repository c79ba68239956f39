package org.merlinwood.decision.placement;

/**
 * The load of one instance as its sidecar reported it on a grant or a refusal. Immutable.
 *
 * @param freePieces pieces of engine memory that are free; free slots of a plain service
 * @param totalPieces pieces of engine memory in all; slots of a plain service
 * @param running requests that run
 * @param queued requests that wait for a grant
 * @param expectedWaitMillis predicted wait of a new request, in milliseconds
 * @param queuedTokens prompt tokens that are not prefilled yet
 * @param draining true if the instance takes no new work
 */
public record LoadObservation(
        int freePieces,
        int totalPieces,
        int running,
        int queued,
        long expectedWaitMillis,
        long queuedTokens,
        boolean draining) {}
