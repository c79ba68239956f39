package org.merlinwood.http;

/** Whether a request may be sent on a connection that was used by an earlier request. */
public enum ConnectionUse {
    /** Uses an idle connection if there is one. */
    POOLED,
    /**
     * Opens a new connection and closes it after the request. A non-idempotent request therefore never fails with an
     * unknown outcome because the server has just closed an idle connection.
     */
    FRESH
}
