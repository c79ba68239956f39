package org.merlinwood.gateway.crash;

/** How much the loss of an instance speaks for a request that it ran as the cause. */
public enum Suspicion {
    /** The instance was about to begin the response, or had just begun it. */
    STRONG,
    /** The instance had responded to the request for a while, or only computed its prompt. */
    WEAK
}
