package org.merlinwood.configuration.inventory;

/** What the operators want of an instance. */
public enum InstanceState {
    /** Takes work. */
    ACTIVE,
    /** Finishes what it has and takes no new work. */
    DRAINING,
    /** Gone for good: what it may have run is not waited for any more. */
    RETIRED
}
