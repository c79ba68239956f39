package org.merlinwood.decision.grant;

/**
 * The right to execute one attempt once. Immutable.
 *
 * @param number unique within the incarnation, never zero
 * @param demand the demand that it was issued for
 * @param expiresAtMillis monotonic time of the sidecar at which it expires unless used, in milliseconds
 */
public record Grant(long number, GrantDemand demand, long expiresAtMillis) {}
