package org.merlinwood.configuration.inventory;

/** What an instance does. */
public enum InstanceRole {
    /** Runs an entry process; has no upstream. */
    ENTRY,
    /** Computes KV caches of prompts. */
    PREFILL,
    /** Generates tokens. */
    DECODE,
    /** Runs a plain service. */
    PLAIN
}
