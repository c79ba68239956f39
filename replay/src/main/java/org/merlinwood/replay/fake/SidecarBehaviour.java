package org.merlinwood.replay.fake;

/** How the fake sidecars treat requests for grants. */
public enum SidecarBehaviour {
    /** First come, first served; a request waits until its caller leaves. */
    FIRST_COME,
    /**
     * The grant book of the product's sidecar: by priority; refuses at once what can't start in time. A link is
     * promised to a KV cache only if it can be carried before it is evicted.
     */
    GRANT_BOOK
}
