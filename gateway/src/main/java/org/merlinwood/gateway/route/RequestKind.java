package org.merlinwood.gateway.route;

/** What a route allows to happen more than once. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT,
    /** Answered by a series of events; runs at most once unless its route says that it may be resumed. */
    STREAM
}
