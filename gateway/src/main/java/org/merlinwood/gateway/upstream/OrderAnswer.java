package org.merlinwood.gateway.upstream;

/** Result of an order to change the stage of an instance. */
public enum OrderAnswer {
    /** The instance is changing its stage, or already has the ordered stage. */
    ACCEPTED,
    /** The instance does not carry out the order. */
    DECLINED,
    /** The instance does not carry out the order, because it has seen a higher fencing token. */
    FENCED,
    /** The instance may or may not carry out the order, for example because no response arrived. */
    UNKNOWN
}
