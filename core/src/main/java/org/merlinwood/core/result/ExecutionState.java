package org.merlinwood.core.result;

/** Whether a request ran at its upstream, as far as is known. */
public enum ExecutionState {
    /** No attempt ran, and none of the attempts made so far can still run. */
    NOT_RUN,
    /** An attempt may have run, or may still be running. */
    UNKNOWN,
    /** The request ran to completion. */
    RAN
}
