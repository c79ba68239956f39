package org.merlinwood.decision.idempotency;

/**
 * Limits of a {@link KeyTable} or a {@link SealedTableStore}. Immutable.
 *
 * @param entries maximum number of keys
 * @param storedBytes maximum total size of the stored responses, in bytes
 * @param horizonMillis how long a key is retained after its request has completed, in milliseconds
 */
public record KeyTableLimits(int entries, long storedBytes, long horizonMillis) {}
