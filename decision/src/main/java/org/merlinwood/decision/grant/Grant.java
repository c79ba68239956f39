package org.merlinwood.decision.grant;

/**
 * A right to execute once. Immutable.
 *
 * @param number unique within the incarnation, never zero
 * @param demand what it was given for
 * @param expiresAtMillis monotonic time of the sidecar from which it is not honoured any more, in milliseconds
 */
public record Grant(long number, GrantDemand demand, long expiresAtMillis) {}
