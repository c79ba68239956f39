package org.merlinwood.decision.idempotency;

/**
 * Bounds of a table. Immutable.
 *
 * @param entries keys at most
 * @param storedBytes bytes of stored answers at most
 * @param horizonMillis how long a key is remembered after its call was settled, in milliseconds
 */
public record KeyTableLimits(int entries, long storedBytes, long horizonMillis) {}
