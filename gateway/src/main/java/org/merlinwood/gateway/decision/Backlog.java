package org.merlinwood.gateway.decision;

/**
 * What one instance has to do before a new request. Immutable.
 *
 * @param remaining requests there without those that arrived from other entries since the last report
 * @param completed requests that have completed since the last report, as estimated
 * @param leastRemaining the same as {@code remaining} by the last report alone, at least 0; 0 without a report
 * @param slots number of requests that the instance runs concurrently, at least 1
 * @param factor how long work takes there, relative to the usual time
 * @param ageMillis age of the last report, in milliseconds
 */
record Backlog(double remaining, double completed, double leastRemaining, int slots, double factor, long ageMillis) {

    /** Cost of an instance all of whose slots are in use and nothing waits, relative to an idle one, less 1. */
    private static final double BUSY_COST = 0.2;

    /**
     * Returns the expected time of a request, that of its work included, in units of the usual time of work.
     *
     * @param ahead number of requests before it, running ones included
     */
    double completion(double ahead) {
        return factor * (1 + Math.max(0, ahead + 1 - slots) / slots);
    }

    /**
     * Returns the expected time with an addition for slots in use, which prefers the emptier of two equal instances.
     */
    double cost(double ahead) {
        return completion(ahead) + factor * BUSY_COST * ahead / slots;
    }
}
