package org.merlinwood.configuration.rules;

/** Whether callers have to send an idempotency key. */
public enum KeyDemand {
    /** A request without a key is refused. */
    REQUIRED,
    /** Without a key, the entry mints one and sends the request once. */
    OPTIONAL
}
