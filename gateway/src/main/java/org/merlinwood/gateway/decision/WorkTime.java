package org.merlinwood.gateway.decision;

import java.util.OptionalDouble;

/**
 * Mean time of the work for a request of one service at the usual speed, by observed times: each is divided by how much
 * longer than that work alone it was expected to take. Confined to the event loop.
 */
final class WorkTime {

    /** Weight of a sample against all before it. */
    private static final double SAMPLE_WEIGHT = 0.01;

    /** Number of samples from which on the mean is used. */
    private static final int MINIMUM_SAMPLES = 10;

    private int samples;
    private double latencySum;
    private double unitSum;

    /**
     * Records a complete response. Samples of instances with waiting requests weigh less, since how long they waited
     * there is known less exactly.
     *
     * @param latencyMillis time that the response took, in milliseconds
     * @param units expected time, in units of the usual time of work
     * @param waiting number of waiting requests that the instance reported last
     */
    void record(long latencyMillis, double units, int waiting) {
        double weight = 1.0 / (1 + waiting);
        double remaining = 1 - SAMPLE_WEIGHT * weight;
        samples = Math.min(samples + 1, MINIMUM_SAMPLES);
        latencySum = latencySum * remaining + weight * latencyMillis;
        unitSum = unitSum * remaining + weight * units;
    }

    /** Returns the mean in milliseconds, greater than 0; empty before there are enough samples. */
    OptionalDouble meanMillis() {
        return samples < MINIMUM_SAMPLES || latencySum <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(latencySum / unitSum);
    }
}
