package org.merlinwood.sidecar.execution;

import org.merlinwood.core.result.Failure;

/** The outcome of an execution at the upstream. */
public sealed interface ExecutionOutcome {

    /** The upstream responded completely and holds no memory for the request. */
    record Completed() implements ExecutionOutcome {}

    /**
     * The upstream responded completely and retains a result.
     *
     * @param retainedMillis longest time for which the result is retained, in milliseconds
     */
    record Retained(long retainedMillis) implements ExecutionOutcome {}

    /**
     * The upstream did not respond completely.
     *
     * @param failure the failure
     * @param upstreamHoldsMemory whether the upstream may still hold memory for the request
     */
    record Failed(Failure failure, boolean upstreamHoldsMemory) implements ExecutionOutcome {}
}
