package org.merlinwood.standin.network;

/** Direction of the bytes that a {@link ForwardingMode} applies to. */
public enum ForwardingDirection {
    /** Both directions. */
    BOTH,
    /** From the connecting side to the target only. */
    TO_TARGET,
    /** From the target to the connecting side only. */
    FROM_TARGET;

    boolean includes(ForwardingDirection direction) {
        return this == BOTH || this == direction;
    }
}
