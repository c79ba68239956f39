package org.merlinwood.configuration.inventory;

/** Whether the engine of an instance refuses orders with an outdated fencing number. */
public enum OrderFencing {
    /** The engine refuses outdated orders. */
    CHECKED,
    /** The engine carries out every order; only the sidecar refuses outdated ones. */
    IGNORED
}
