package org.merlinwood.sidecar.execution;

import org.merlinwood.core.result.Failure;

/** How an execution ended, seen from the upstream. */
public sealed interface ExecutionOutcome {

    /** The upstream answered whole and holds nothing any more. */
    record Completed() implements ExecutionOutcome {}

    /**
     * The upstream answered whole and keeps a result for a while.
     *
     * @param keptMillis how long at most, in milliseconds
     */
    record Retained(long keptMillis) implements ExecutionOutcome {}

    /**
     * The upstream did not answer whole.
     *
     * @param failure the failure
     * @param upstreamHolds whether the upstream may still hold memory for it
     */
    record Failed(Failure failure, boolean upstreamHolds) implements ExecutionOutcome {}
}
