package org.merlinwood.configuration.inventory;

/** Role of an instance. */
public enum InstanceRole {
    /** Accepts callers' requests; has no upstream. */
    ENTRY,
    /** Computes the KV caches of prompts. */
    PREFILL,
    /** Generates tokens. */
    DECODE,
    /** Serves the requests of a plain service. */
    PLAIN
}
