package org.merlinwood.gateway.front;

/**
 * What is known of a silent attempt and its replacement while both are open at instances: which one is kept when the
 * time is over for which two may be.
 */
enum OverlapState {

    /** Neither instance has sent anything: the replacement is kept, since its instance is not known to be silent. */
    UNDECIDED,

    /** The silent instance has begun its response, without a complete event so far: the silent attempt is kept. */
    SILENT_INSTANCE_BEGAN,

    /** The head of the replacement's response is not that of a success: the silent attempt is kept. */
    REPLACEMENT_REFUSED
}
