package org.merlinwood.gateway.route;

/** The kind of a route's requests, which determines whether a request may run more than once. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run at most once for each attempt of the caller. */
    NON_IDEMPOTENT,
    /** Has an event stream as response; may run at most once unless its route is resumable. */
    STREAM
}
