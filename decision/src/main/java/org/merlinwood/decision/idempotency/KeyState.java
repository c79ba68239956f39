package org.merlinwood.decision.idempotency;

/** The execution state of the request of a key. */
public enum KeyState {
    /** The request is running. */
    RUNNING,
    /** The request ran, and its response is stored. */
    RAN,
    /** The request ran, but its response is no longer stored. */
    RAN_EVICTED,
    /** The request may have run. */
    UNKNOWN
}
