package org.merlinwood.replay.fake;

/** How the fake sidecars treat requests for grants. */
public enum SidecarBehaviour {
    /** First come, first served; a request waits until its caller leaves. */
    FIRST_COME,
    /**
     * By priority and latest start; refuses at once what can't start in time, and grants only what the link can carry
     * before the result is evicted.
     */
    BY_TARGET
}
