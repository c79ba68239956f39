package org.merlinwood.entry.request;

/** How a model's answer reaches the caller. */
public enum Delivery {
    /** In one body, once it is whole. */
    WHOLE,
    /** As server-sent events while it is generated. Off ({@link #WHOLE}): nothing is sent before the end. */
    STREAMED
}
