package org.merlinwood.decision.grant;

/**
 * One authenticated connection of a peer, as this process counts them.
 *
 * @param value unique within the process
 */
public record SessionNumber(long value) {}
