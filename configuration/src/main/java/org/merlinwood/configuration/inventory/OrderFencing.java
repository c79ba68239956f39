package org.merlinwood.configuration.inventory;

/** Whether the engine of an instance refuses orders with an old fencing number. */
public enum OrderFencing {
    /** The engine refuses them. */
    CHECKED,
    /** The engine obeys any order; the sidecar alone keeps the sequence. */
    IGNORED
}
