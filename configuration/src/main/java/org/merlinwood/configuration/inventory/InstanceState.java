package org.merlinwood.configuration.inventory;

/** State of an instance as set by the operators. */
public enum InstanceState {
    /** Accepts new work. */
    ACTIVE,
    /** Completes its current work and accepts no new work. */
    DRAINING,
    /** Permanently removed. Other instances no longer wait for information about the requests that it may have run. */
    RETIRED
}
