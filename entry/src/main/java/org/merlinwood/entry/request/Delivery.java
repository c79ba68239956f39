package org.merlinwood.entry.request;

/** How the response of a model is sent to the caller. */
public enum Delivery {
    /** In a single body, after it is complete. */
    WHOLE,
    /** As server-sent events while it is generated. */
    STREAMED
}
