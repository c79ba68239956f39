package org.merlinwood.replay.policy;

/** The outcome of one attempt of a request. */
public enum RunOutcome {
    /** The response was complete. */
    WHOLE,
    /** The attempt was refused, possibly with a time after which to retry. */
    REFUSED,
    /** The attempt failed after its execution had started. */
    FAILED,
    /** The caller disconnected before the first token. */
    LEFT
}
