package org.merlinwood.standin.network;

/** Behaviour of a {@link Forwarder}. */
public enum ForwardingMode {
    /** Forwards all bytes without delay. */
    PASS,
    /** Forwards all bytes after a delay. */
    DELAY,
    /** Closes existing and new connections at once. */
    DROP,
    /** Silences existing and new connections: bytes are read but discarded, and a close is not forwarded either. */
    SILENT,
    /** Silences existing connections permanently; forwards new ones without delay. */
    SILENT_EXISTING
}
