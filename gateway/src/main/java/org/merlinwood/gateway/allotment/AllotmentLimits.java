package org.merlinwood.gateway.allotment;

import org.merlinwood.gateway.workspace.Allotment;

/**
 * How far all entries together may exceed an allotment. Immutable.
 *
 * @param windowMillis length of the sliding window, in milliseconds, above 0
 * @param over fraction of the allotment of a window by which it may be exceeded, at least 0
 * @param slack units by which it may be exceeded in addition, at least 0
 */
public record AllotmentLimits(long windowMillis, double over, double slack) {

    /** Limits of a deployment that sets none. */
    public static final AllotmentLimits DEFAULT = new AllotmentLimits(10_000, 0.1, 0);

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Part of the headroom by {@link #over} that may be used so that late counts of others refuse nobody; the rest
     * covers the counts.
     */
    private static final double OVERDRAW_RATIO = 0.15;

    /** The same part of {@link #slack}, which doesn't grow with the allotment and covers a few requests at once. */
    private static final double SLACK_RATIO = 0.5;

    /** Part of {@link #over} that is used while entries are unreachable. */
    private static final double SEPARATION_RATIO = 0.3;

    /** Checks the range of each value. */
    public AllotmentLimits {
        if (windowMillis <= 0 || !(over >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException(
                    "window " + windowMillis + " ms, over " + over + ", slack " + slack + " units");
        }
    }

    /**
     * Returns what a workspace may use in any window.
     *
     * @param allotment its allotment
     * @return number of units
     */
    public double bound(Allotment allotment) {
        return perWindow(allotment) * (1 + over) + slack;
    }

    /** Returns the units by which the bound exceeds the allotment of a window. */
    double headroom(Allotment allotment) {
        return perWindow(allotment) * over + slack;
    }

    /** Returns how far a workspace may be overdrawn on purpose, in units. */
    double overdraw(Allotment allotment) {
        return OVERDRAW_RATIO * perWindow(allotment) * over + SLACK_RATIO * slack;
    }

    /** Returns the factor on the rate of entries that have lost sight of others, at least 1. */
    double separationFactor() {
        return 1 + SEPARATION_RATIO * over;
    }

    private double perWindow(Allotment allotment) {
        return allotment.ratePerSecond() * windowMillis / MILLIS_PER_SECOND + allotment.burst();
    }
}
