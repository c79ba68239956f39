package org.merlinwood.configuration.rules;

/** Kind of a service. */
public enum ServiceKind {
    /** Model requests, served by a prefill pool and a decode pool. */
    MODEL,
    /** Plain HTTP requests, each served by one instance. */
    PLAIN
}
