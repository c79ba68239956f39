package org.merlinwood.decision.grant;

/**
 * Identifies one authenticated connection of a peer within this process.
 *
 * @param value unique within the process
 */
public record SessionNumber(long value) {}
