package org.merlinwood.replay.policy;

/** How one send of a request ended. */
public enum RunOutcome {
    /** Answered whole. */
    WHOLE,
    /** Refused with a time to come back. */
    REFUSED,
    /** Ended by a failure after work had begun. */
    FAILED,
    /** The caller left before the first token. */
    LEFT
}
