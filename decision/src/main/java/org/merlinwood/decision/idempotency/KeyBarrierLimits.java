package org.merlinwood.decision.idempotency;

/**
 * Bounds that the rules set for keys. Immutable.
 *
 * @param horizonMillis how long a key may be sent again, in milliseconds
 * @param clockBoundMillis how far apart two wall clocks may be, in milliseconds
 */
public record KeyBarrierLimits(long horizonMillis, long clockBoundMillis) {}
