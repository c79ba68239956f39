package org.merlinwood.standin.engine;

import org.merlinwood.standin.impl.SequencedRun;

/**
 * One run of a request by an engine, from its admission to the release of its memory.
 *
 * @param sequence number of the run
 * @param request identifier of the request
 * @param kind {@code prefill} or {@code decode}
 * @param promptDigest SHA-256 of the prompt
 * @param promptTokens tokens of the prompt
 * @param pieces pieces of memory reserved for the run
 * @param firstOffset offset of the first token to be produced
 * @param tokens tokens computed (prefill) or produced (decode)
 * @param startedAtMillis wall time of the start, in milliseconds
 * @param endedAtMillis wall time at which the memory was released, in milliseconds; 0 while it is reserved
 * @param outcome how the run ended
 */
public record EngineRun(
        long sequence,
        String request,
        String kind,
        String promptDigest,
        int promptTokens,
        int pieces,
        int firstOffset,
        int tokens,
        long startedAtMillis,
        long endedAtMillis,
        Outcome outcome)
        implements SequencedRun {

    /** How a run ended. */
    public enum Outcome {
        /** The run has not ended; its memory is reserved. */
        RUNNING,
        /** All tokens were produced. */
        FINISHED,
        /** The run was cancelled. */
        CANCELLED,
        /** The result of a prefill was exported. */
        EXPORTED,
        /** The result of a prefill was evicted before it was exported. */
        EVICTED,
        /** The KV cache could not be imported. */
        IMPORT_FAILED,
        /** The engine crashed or was closed. */
        CRASHED
    }

    /**
     * Returns the ended state of this run.
     *
     * @param finalOutcome how the run ended
     * @param finalTokens tokens computed or produced
     * @param endMillis wall time of the end, in milliseconds
     * @return a copy with the same sequence number
     */
    public EngineRun ended(Outcome finalOutcome, int finalTokens, long endMillis) {
        return new EngineRun(
                sequence,
                request,
                kind,
                promptDigest,
                promptTokens,
                pieces,
                firstOffset,
                finalTokens,
                startedAtMillis,
                endMillis,
                finalOutcome);
    }
}
