package org.merlinwood.decision.idempotency;

/**
 * Limits that the rules set for idempotency keys. Immutable.
 *
 * @param horizonMillis the retry horizon: how long a request may be sent again with its key, in milliseconds
 * @param clockBoundMillis maximum difference between two wall clocks, in milliseconds
 */
public record KeyBarrierLimits(long horizonMillis, long clockBoundMillis) {}
