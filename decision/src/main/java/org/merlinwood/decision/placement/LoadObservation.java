package org.merlinwood.decision.placement;

/**
 * The load of one instance, as reported by its sidecar with a grant, a refusal or a response. Immutable.
 *
 * @param freePieces free pieces of engine memory; free slots for a plain service
 * @param totalPieces total pieces of engine memory; total slots for a plain service
 * @param running requests that are running
 * @param queued requests that are waiting for a grant
 * @param expectedWaitMillis predicted wait of a new request, in milliseconds
 * @param queuedTokens prompt tokens whose prefill is not complete
 * @param draining true if the instance accepts no new work
 */
public record LoadObservation(
        int freePieces,
        int totalPieces,
        int running,
        int queued,
        long expectedWaitMillis,
        long queuedTokens,
        boolean draining) {}
