package org.merlinwood.entry.machine;

import org.merlinwood.core.result.Failure;
import org.merlinwood.wire.CacheHandle;

/** What happened to a request. Immutable. Attempts are numbered from 1, each grant that is asked for is one. */
public sealed interface RequestEvent {

    /**
     * A sidecar granted an attempt.
     *
     * @param attempt number of the attempt
     */
    record Granted(int attempt) implements RequestEvent {}

    /**
     * A sidecar refused an attempt, before or after it was told to execute; it will not run.
     *
     * @param attempt number of the attempt
     * @param failure what the sidecar said
     */
    record Refused(int attempt, Failure failure) implements RequestEvent {}

    /**
     * The connection of an attempt ended, could not be opened, or does not answer.
     *
     * @param attempt number of the attempt
     * @param failure what is known
     */
    record Lost(int attempt, Failure failure) implements RequestEvent {}

    /**
     * A prefill is done.
     *
     * @param attempt number of the attempt
     * @param cache where its result is held
     */
    record PrefillDone(int attempt, CacheHandle cache) implements RequestEvent {}

    /**
     * The answer of an attempt arrived whole.
     *
     * @param attempt number of the attempt
     */
    record ResponseCompleted(int attempt) implements RequestEvent {}

    /**
     * The answer of an attempt ended before it was whole, or has a hole.
     *
     * @param attempt number of the attempt
     * @param failure what is known
     */
    record ResponseFailed(int attempt, Failure failure) implements RequestEvent {}

    /**
     * The wait for revisions has ended.
     *
     * @param inForce false if they did not come into force in time
     */
    record RevisionsAwaited(boolean inForce) implements RequestEvent {}

    /** The wait before an instance is looked for again has ended. */
    record InstanceAwaited() implements RequestEvent {}

    /**
     * The caller has gone or reads too slowly, the deadline has passed, or the process ends.
     *
     * @param failure the final answer
     */
    record GivenUp(Failure failure) implements RequestEvent {}
}
