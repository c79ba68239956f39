package org.merlinwood.entry.machine;

import org.merlinwood.core.result.Failure;
import org.merlinwood.wire.CacheHandle;

/** Input of a {@link RequestMachine}. Immutable. Attempts are numbered from 1; every requested grant is one attempt. */
public sealed interface RequestEvent {

    /**
     * A sidecar granted an attempt.
     *
     * @param attempt number of the attempt
     */
    record Granted(int attempt) implements RequestEvent {}

    /**
     * A sidecar refused an attempt, before or after the execute message was sent. The attempt will not run.
     *
     * @param attempt number of the attempt
     * @param failure the failure that the sidecar reported
     */
    record Refused(int attempt, Failure failure) implements RequestEvent {}

    /**
     * The connection of an attempt closed, could not be opened, or is not responding.
     *
     * @param attempt number of the attempt
     * @param failure cause of the loss, with what is known about execution
     */
    record Lost(int attempt, Failure failure) implements RequestEvent {}

    /**
     * A prefill has completed.
     *
     * @param attempt number of the attempt
     * @param cache handle of the KV cache that it produced
     */
    record PrefillDone(int attempt, CacheHandle cache) implements RequestEvent {}

    /**
     * The complete response of an attempt has arrived.
     *
     * @param attempt number of the attempt
     */
    record ResponseCompleted(int attempt) implements RequestEvent {}

    /**
     * The response of an attempt ended early, or a part of it is missing.
     *
     * @param attempt number of the attempt
     * @param failure cause, with what is known about execution
     */
    record ResponseFailed(int attempt, Failure failure) implements RequestEvent {}

    /**
     * The wait started by {@link RequestAction.AwaitRevisions} has ended.
     *
     * @param reached whether the revisions became active within the time limit
     */
    record RevisionsWaitEnded(boolean reached) implements RequestEvent {}

    /** The wait started by {@link RequestAction.AwaitInstance} has ended. */
    record InstanceWaitEnded() implements RequestEvent {}

    /**
     * The caller has disconnected or reads too slowly, the deadline has passed, or the process is shutting down.
     *
     * @param failure the failure to report to the caller
     */
    record GivenUp(Failure failure) implements RequestEvent {}
}
