package org.merlinwood.standin.impl;

/**
 * Calls that a stand-in counted.
 *
 * @param calls all calls
 * @param refused calls over the limit
 * @param highestCallsPerSecond most calls within one window of a second
 */
public record CallCounts(long calls, long refused, long highestCallsPerSecond) {}
