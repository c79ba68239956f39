package org.merlinwood.decision.grant;

import org.merlinwood.core.result.Failure;

/** A decision of {@link GrantManager} about one attempt, to be sent to the entry of the attempt. */
public sealed interface GrantEvent {

    /**
     * Returns the attempt that the event concerns.
     *
     * @return the attempt
     */
    AttemptIdentity attempt();

    /**
     * The attempt may execute.
     *
     * @param attempt the attempt
     * @param grant the right to execute
     * @param expiresInMillis how long the grant stays valid from now on if unused, in milliseconds
     */
    record Granted(AttemptIdentity attempt, Grant grant, long expiresInMillis) implements GrantEvent {}

    /**
     * The attempt waits in the queue.
     *
     * @param attempt the attempt
     * @param expectedWaitMillis predicted wait, in milliseconds
     */
    record Waiting(AttemptIdentity attempt, long expectedWaitMillis) implements GrantEvent {}

    /**
     * The attempt was not run and gets no grant.
     *
     * @param attempt the attempt
     * @param failure the reason; if it is retryable, with the delay before a retry
     */
    record Refused(AttemptIdentity attempt, Failure failure) implements GrantEvent {}

    /**
     * The attempt may be running and must be cancelled. Its units stay reserved until {@link GrantManager#release}.
     *
     * @param attempt the attempt
     * @param failure the reason
     */
    record Cancelled(AttemptIdentity attempt, Failure failure) implements GrantEvent {}
}
