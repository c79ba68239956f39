package org.merlinwood.gateway.fleet;

/** Kind of work that an instance performs. */
public enum Stage {
    /** Computes the KV cache of prompts for decode instances. */
    PREFILL,
    /** Generates responses of model requests. */
    DECODE,
    /** Serves plain requests. */
    PLAIN
}
