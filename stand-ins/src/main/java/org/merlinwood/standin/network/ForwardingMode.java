package org.merlinwood.standin.network;

/** What a forwarder does with connections. */
public enum ForwardingMode {
    /** Forwards everything. */
    PASS,
    /** Forwards everything, later. */
    DELAY,
    /** Closes existing connections and new ones at once. */
    DROP,
    /** Accepts and reads, but forwards nothing: existing and new connections go silent, also about their end. */
    SILENT,
    /** Existing connections go silent for good; new ones are forwarded. */
    SILENT_EXISTING
}
