package org.merlinwood.configuration.rules;

/** Whether a plain request may run at an upstream more than once. */
public enum Repeatability {
    /** Running the request again has no further effect. */
    IDEMPOTENT,
    /** The request may run at most once. This is the default. */
    NON_IDEMPOTENT
}
