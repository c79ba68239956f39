package org.merlinwood.replay.fake;

/** How the fake sidecars treat grant requests. */
public enum SidecarBehaviour {
    /** First come, first served. A request waits until it is withdrawn or its latest start time has passed. */
    FIRST_COME,
    /**
     * The grant manager of the product's sidecar. It grants by priority and immediately refuses requests that can't
     * start in time. Link bandwidth is reserved only for a KV cache that can be transferred before it is evicted.
     */
    GRANT_MANAGER
}
