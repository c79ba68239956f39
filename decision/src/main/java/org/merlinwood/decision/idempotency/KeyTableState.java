package org.merlinwood.decision.idempotency;

/**
 * Size and limits of a {@link KeyTable}, for the state dump. Immutable.
 *
 * @param entries number of keys
 * @param running number of keys whose request is running
 * @param unknown number of keys whose request may have run
 * @param storedBytes total size of the stored responses, in bytes
 * @param limits the limits
 */
public record KeyTableState(int entries, int running, int unknown, long storedBytes, KeyTableLimits limits) {}
