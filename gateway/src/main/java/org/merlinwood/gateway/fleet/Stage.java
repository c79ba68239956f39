package org.merlinwood.gateway.fleet;

/** The part that an instance plays in answering a model request. */
public enum Stage {
    /** Computes prompts for others. */
    PREFILL,
    /** Generates answers. */
    DECODE,
    /** Serves plain calls. */
    PLAIN
}
