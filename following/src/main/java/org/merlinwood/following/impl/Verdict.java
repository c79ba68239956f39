package org.merlinwood.following.impl;

/** Result of offering a document. The constants are part of metric names. */
enum Verdict {
    /** It is valid and has become the active document. */
    ACCEPTED,
    /** It is the active document already. */
    KNOWN,
    /** Its revision is lower than the active one. */
    STALE,
    /** It has the active revision but a different content; rejected. */
    CONFLICTING,
    /** It has errors; rejected as a whole. */
    INVALID
}
