package org.merlinwood.replay.measure;

import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.trace.ScaledTrace;
import org.merlinwood.replay.trace.Trace;

/**
 * Finds the capacity of a trace under the product's policy and requires that goodput at twice that load and beyond
 * stays close to its peak.
 *
 * <p>The capacity is the highest load at which the goodput share is still close to that at a light load. The peak is
 * the highest goodput rate of all loads up to twice the capacity. Loads are multiples of the recorded load. Stateless
 * and thread-safe.
 */
final class KneeSweep {

    private static final double LIGHT_LOAD = 0.25;
    private static final double HIGHEST_LOAD = 4;
    private static final double LOAD_STEP = 0.25;
    private static final double OVERLOAD_FACTOR = 2;
    private static final double MINIMUM_SHARE_OF_PEAK = 0.9;
    private static final double MINIMUM_SHARE_OF_LIGHT_LOAD = 0.95;

    private KneeSweep() {}

    static Bound bound(Trace trace, long seed) {
        double overload = OVERLOAD_FACTOR * capacity(trace, seed);
        double peak = 0;
        for (double load = LIGHT_LOAD; load <= overload; load += LOAD_STEP) {
            peak = Math.max(peak, goodPerSecond(trace, seed, load));
        }
        double lowest = goodPerSecond(trace, seed, overload);
        for (double load = overload; load <= HIGHEST_LOAD; load += LOAD_STEP) {
            lowest = Math.min(lowest, goodPerSecond(trace, seed, load));
        }
        return new Bound(trace.header().trace(), "goodput-past-the-knee", MINIMUM_SHARE_OF_PEAK * peak, true, lowest);
    }

    private static double capacity(Trace trace, long seed) {
        double light = replay(trace, seed, LIGHT_LOAD).run().goodput();
        double capacity = LIGHT_LOAD;
        for (double load = LIGHT_LOAD; load <= HIGHEST_LOAD; load += LOAD_STEP) {
            double goodput = replay(trace, seed, load).run().goodput();
            capacity = goodput >= MINIMUM_SHARE_OF_LIGHT_LOAD * light ? load : capacity;
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
