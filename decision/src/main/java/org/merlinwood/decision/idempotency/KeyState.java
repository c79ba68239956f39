package org.merlinwood.decision.idempotency;

/** What is known about the one execution of a key. */
public enum KeyState {
    /** Its call to the upstream is open. */
    RUNNING,
    /** It ran, and its answer is stored. */
    RAN,
    /** It ran, but its answer is not stored any more. */
    RAN_EVICTED,
    /** It may have run. */
    UNKNOWN
}
