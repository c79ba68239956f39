package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.PrefillResult;

/**
 * Prepares the next attempt of a stream, and holds what is prepared until the attempt is sent. Used by the event loop
 * alone; may be started again, for the next attempt of the request.
 */
sealed interface StreamPlacement permits GenerationPlacement, PlainStreamPlacement {

    /**
     * Chooses an instance, prepares an attempt there and has the processor send it, or waits until that is possible, or
     * gives the attempt up.
     */
    void start();

    /** Forgets which prefill instances were tried, for the next attempt of the request. */
    void clearTriedPrefillInstances();

    /** Excludes an instance from the choice. */
    void exclude(UpstreamInstance instance);

    /** Returns the identifier of the reservation for the attempt, empty if nothing was reserved. */
    Optional<String> reservationIdentifier();

    /** Returns the computed prompt for the attempt, empty if its instance is to compute the prompt, if there is one. */
    Optional<PrefillResult> prefillResult();

    /** Holds a computed prompt again whose attempt did not reach its instance. */
    void restore(Optional<PrefillResult> unused);

    /** Records that the attempt which uses what was prepared is being sent. */
    void handOver();

    /** Gives up what is prepared at an instance and chooses another one. */
    void placeAgain(UpstreamInstance instance, String reason);

    /** Cancels the preparation, and releases what is reserved for an attempt that was not sent. */
    void cancel();

    /** Describes the request to an upstream that is in progress, for log lines; empty if there is none. */
    Optional<String> describe();

    /**
     * Returns what a complete stream shows of the speed of its instance, in the measure by which instances of its kind
     * are compared.
     *
     * @param attempt the attempt, whose stream is complete
     * @return milliseconds, at least 1
     */
    long latencyMillis(GenerationAttempt attempt);
}
