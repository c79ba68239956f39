package org.merlinwood.protocol;

/** The kind of process a peer is. */
public enum PeerRole {
    /** Accepts requests of callers. */
    ENTRY,
    /** Runs next to one upstream and controls access to it. */
    SIDECAR,
    /** The command line tool of operators. */
    COMMAND
}
