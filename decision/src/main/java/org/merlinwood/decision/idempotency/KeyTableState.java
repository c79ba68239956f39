package org.merlinwood.decision.idempotency;

/**
 * Size of a table, for the state dump.
 *
 * @param entries keys
 * @param running keys whose call is open
 * @param unknown keys whose call may have run
 * @param storedBytes bytes of stored answers
 * @param limits the bounds
 */
public record KeyTableState(int entries, int running, int unknown, long storedBytes, KeyTableLimits limits) {}
