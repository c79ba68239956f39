package org.merlinwood.replay.measure;

import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.trace.ScaledTrace;
import org.merlinwood.replay.trace.Trace;

/**
 * Finds the capacity of a trace under the product's policy, and what is left of its goodput at twice that load and
 * beyond.
 *
 * <p>The capacity is the highest load at which the share of good answers is still close to that at a light load. The
 * peak is that of all loads up to twice the capacity. Stateless and thread-safe.
 */
final class KneeSweep {

    private static final double LIGHT_LOAD = 0.25;
    private static final double LAST_LOAD = 4;
    private static final double STEP = 0.25;
    private static final double BEYOND = 2;
    private static final double LEAST_SHARE_OF_PEAK = 0.9;
    private static final double CAPACITY_SHARE = 0.95;

    private KneeSweep() {}

    static Bound bound(Trace trace, long seed) {
        double beyondLoad = BEYOND * capacity(trace, seed);
        double peak = 0;
        for (double load = LIGHT_LOAD; load <= beyondLoad; load += STEP) {
            peak = Math.max(peak, goodPerSecond(trace, seed, load));
        }
        double least = goodPerSecond(trace, seed, beyondLoad);
        for (double load = beyondLoad; load <= LAST_LOAD; load += STEP) {
            least = Math.min(least, goodPerSecond(trace, seed, load));
        }
        return new Bound(trace.header().trace(), "goodput-past-the-knee", LEAST_SHARE_OF_PEAK * peak, true, least);
    }

    private static double capacity(Trace trace, long seed) {
        double light = replay(trace, seed, LIGHT_LOAD).run().goodput();
        double capacity = LIGHT_LOAD;
        for (double load = LIGHT_LOAD; load <= LAST_LOAD; load += STEP) {
            double goodput = replay(trace, seed, load).run().goodput();
            capacity = goodput >= CAPACITY_SHARE * light ? load : capacity;
        }
        return capacity;
    }

    private static double goodPerSecond(Trace trace, long seed, double load) {
        Replay replay = replay(trace, seed, load);
        replay.run();
        return replay.goodPerSecond();
    }

    private static Replay replay(Trace trace, long seed, double load) {
        return new Replay(ScaledTrace.of(trace, load, seed), PolicyName.MERLINWOOD, seed);
    }
}
