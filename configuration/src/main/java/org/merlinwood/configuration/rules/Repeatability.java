package org.merlinwood.configuration.rules;

/** Whether a plain call may be sent to an upstream more than once. */
public enum Repeatability {
    /** Running it again changes nothing. */
    IDEMPOTENT,
    /** It may run at most once. What no row declares idempotent is this. */
    NON_IDEMPOTENT
}
