package org.merlinwood.http;

/** Whether a call may travel on a connection that served another call before. */
public enum ConnectionUse {
    /** An idle connection is taken where there is one. Off ({@link #FRESH}): each call opens its own. */
    POOLED,
    /**
     * A new connection is opened and closed after the call, so that a connection which the server just closed can't
     * make the outcome of a non-idempotent call unknown.
     */
    FRESH
}
