package org.merlinwood.configuration.rules;

/** Whether requests of a route must have an idempotency key. */
public enum KeyDemand {
    /** A request without a key is refused. */
    REQUIRED,
    /** For a request without a key, the entry mints a key and sends the request at most once. */
    OPTIONAL
}
