package org.merlinwood.protocol;

/** What kind of process a peer is. */
public enum PeerRole {
    /** Serves callers. */
    ENTRY,
    /** Stands beside one upstream. */
    SIDECAR,
    /** The operators' command line. */
    COMMAND
}
