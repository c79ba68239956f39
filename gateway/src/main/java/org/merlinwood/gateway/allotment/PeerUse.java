package org.merlinwood.gateway.allotment;

import org.merlinwood.gateway.decision.EntryReport.AllotmentUse;

/**
 * What one peer has reported of one workspace. There is one for each workspace and peer, so it is kept small. Confined
 * to the event loop.
 */
final class PeerUse {

    /** Time constant of the rate of a peer, in milliseconds. */
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    /** Most units that a report may add, so that absurd numbers are forgotten soon: more than a fleet can run. */
    private static final long MAXIMUM_UNITS = Integer.MAX_VALUE;

    private int period;
    private long admitted;
    private long offered;

    /** Units admitted recently, decaying. */
    private float recentUnits;

    /** Number of the last report that names the workspace. */
    private int reportNumber;

    /** Takes over the sums of a peer whose earlier use is not known, without counting them. */
    void baseline(AllotmentUse use, int number) {
        period = use.period();
        admitted = use.admitted();
        offered = use.offered();
        reportNumber = number;
    }

    /** Takes over new sums and returns the difference, in units; negative if units were given back. */
    Difference update(AllotmentUse use, int number, long sinceLastReportMillis) {
        boolean samePeriod = use.period() == period;
        long admittedBefore = samePeriod ? admitted : 0;
        long offeredBefore = samePeriod ? offered : 0;
        Difference difference = new Difference(
                Math.clamp(use.admitted() - admittedBefore, -MAXIMUM_UNITS, MAXIMUM_UNITS),
                Math.clamp(use.offered() - offeredBefore, 0, MAXIMUM_UNITS));
        recentUnits = (float) Math.max(
                0, recentUnits * Math.exp(-sinceLastReportMillis / TIME_CONSTANT_MILLIS) + difference.admitted());
        baseline(use, number);
        return difference;
    }

    boolean isIn(int number) {
        return reportNumber == number;
    }

    /** Estimates the units admitted since the last report. */
    long estimateSince(long ageMillis) {
        return Math.round(recentUnits / TIME_CONSTANT_MILLIS * ageMillis);
    }

    /**
     * Difference between two reports.
     *
     * @param admitted units admitted, less those given back
     * @param offered units of all requests
     */
    record Difference(long admitted, long offered) {

        static final Difference NONE = new Difference(0, 0);
    }
}
