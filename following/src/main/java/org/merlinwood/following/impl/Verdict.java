package org.merlinwood.following.impl;

/** What became of a document that was offered. */
enum Verdict {
    /** It is in force now. */
    ACCEPTED,
    /** It is the one in force. */
    KNOWN,
    /** Its revision is lower than the one in force. */
    STALE,
    /** It has the revision in force, but another content. */
    CONFLICTING,
    /** It was rejected whole. */
    INVALID
}
