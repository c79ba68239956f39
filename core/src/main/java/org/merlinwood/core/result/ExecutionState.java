package org.merlinwood.core.result;

/** What is known about whether a call ran at its upstream. */
public enum ExecutionState {
    /** No attempt ran, and none of the attempts made so far can run any more. */
    NOT_RUN,
    /** An attempt may have run, or may still be running. */
    UNKNOWN,
    /** The call ran to its end. */
    RAN
}
