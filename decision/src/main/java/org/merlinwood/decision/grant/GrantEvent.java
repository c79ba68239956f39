package org.merlinwood.decision.grant;

import org.merlinwood.core.result.Failure;

/** What the book decided about one attempt, to be told to its entry. */
public sealed interface GrantEvent {

    /**
     * Returns whom it concerns.
     *
     * @return the attempt
     */
    AttemptIdentity attempt();

    /**
     * The attempt may execute.
     *
     * @param attempt the attempt
     * @param grant the right to execute
     * @param expiresInMillis how long it is honoured from now, in milliseconds
     */
    record Granted(AttemptIdentity attempt, Grant grant, long expiresInMillis) implements GrantEvent {}

    /**
     * The attempt waits.
     *
     * @param attempt the attempt
     * @param expectedWaitMillis predicted wait, in milliseconds
     */
    record Waiting(AttemptIdentity attempt, long expectedWaitMillis) implements GrantEvent {}

    /**
     * The attempt was not run, and this book gives it no grant any more.
     *
     * @param attempt the attempt
     * @param failure why, with a time to come back
     */
    record Refused(AttemptIdentity attempt, Failure failure) implements GrantEvent {}

    /**
     * The attempt runs, and must be cancelled; its units stay reserved until {@link GrantManager#release}.
     *
     * @param attempt the attempt
     * @param failure why
     */
    record Cancelled(AttemptIdentity attempt, Failure failure) implements GrantEvent {}
}
