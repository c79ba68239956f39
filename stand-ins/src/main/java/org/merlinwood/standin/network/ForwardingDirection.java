package org.merlinwood.standin.network;

/** Which way a mode holds. */
public enum ForwardingDirection {
    /** Both ways. */
    BOTH,
    /** From the connecting side to the target alone. */
    TO_TARGET,
    /** From the target to the connecting side alone. */
    FROM_TARGET;

    boolean includes(ForwardingDirection way) {
        return this == BOTH || this == way;
    }
}
