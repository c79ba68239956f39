package org.merlinwood.standin.engine;

import org.merlinwood.standin.impl.SequencedRun;

/**
 * What an engine ran for one call.
 *
 * @param sequence number of the run
 * @param request identifier of the request
 * @param kind {@code prefill} or {@code decode}
 * @param promptDigest SHA-256 of the prompt
 * @param promptTokens tokens of the prompt
 * @param pieces pieces that it held
 * @param firstOffset offset of the first token that it was to produce
 * @param tokens tokens that it computed or produced
 * @param startedAtMillis wall time of its start
 * @param endedAtMillis wall time at which its memory was free again, 0 while it is held
 * @param outcome how it ended
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
        /** It holds memory. */
        RUNNING,
        /** All tokens were produced. */
        FINISHED,
        /** It was cancelled. */
        CANCELLED,
        /** The result of a prefill was exported. */
        EXPORTED,
        /** The result of a prefill was evicted before anyone took it. */
        EVICTED,
        /** The KV cache could not be imported. */
        IMPORT_FAILED,
        /** The engine ended. */
        CRASHED
    }

    /**
     * Returns this run as ended.
     *
     * @param how how it ended
     * @param computedTokens tokens that it computed or produced
     * @param atMillis wall time
     * @return a copy
     */
    public EngineRun ended(Outcome how, int computedTokens, long atMillis) {
        return new EngineRun(
                sequence,
                request,
                kind,
                promptDigest,
                promptTokens,
                pieces,
                firstOffset,
                computedTokens,
                startedAtMillis,
                atMillis,
                how);
    }
}
