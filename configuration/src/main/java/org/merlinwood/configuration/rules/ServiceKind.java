package org.merlinwood.configuration.rules;

/** How requests of a service are served. */
public enum ServiceKind {
    /** By a prefill and a decode pool. */
    MODEL,
    /** By instances of a plain service. */
    PLAIN
}
