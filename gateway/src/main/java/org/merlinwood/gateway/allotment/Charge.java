package org.merlinwood.gateway.allotment;

/**
 * Units that one run of a request counts. Immutable.
 *
 * @param workspace name of the workspace
 * @param units number of units
 * @param period period of activity of the workspace in which it was charged
 * @param chargedMillis monotonic time of the charge, in milliseconds
 */
public record Charge(String workspace, long units, int period, long chargedMillis) {}
