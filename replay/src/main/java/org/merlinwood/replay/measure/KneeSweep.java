package org.merlinwood.replay.measure;

import org.merlinwood.replay.policy.PolicyName;
import org.merlinwood.replay.trace.ScaledTrace;
import org.merlinwood.replay.trace.Trace;

/**
 * Finds the load at which a trace's goodput peaks under the product's policy, and what is left of it at twice that
 * load. Stateless and thread-safe.
 */
final class KneeSweep {

    private static final double FIRST_LOAD = 0.25;
    private static final double LAST_LOAD = 4;
    private static final double STEP = 0.25;
    private static final double BEYOND = 2;
    private static final double LEAST_SHARE_OF_PEAK = 0.9;
    private static final double KNEE_SHARE_OF_OFFERED = 0.95;

    private KneeSweep() {}

    static Bound bound(Trace trace, long seed) {
        double kneeLoad = FIRST_LOAD;
        double peak = 0;
        for (double load = FIRST_LOAD; load <= LAST_LOAD; load += STEP) {
            Replay replay = replay(trace, seed, load);
            double goodput = replay.run().goodput();
            kneeLoad = goodput >= KNEE_SHARE_OF_OFFERED ? load : kneeLoad;
            peak = Math.max(peak, replay.goodPerSecond());
        }
        Replay beyond = replay(trace, seed, kneeLoad * BEYOND);
        beyond.run();
        return new Bound(
                trace.header().trace(),
                "goodput-past-the-knee",
                LEAST_SHARE_OF_PEAK * peak,
                true,
                beyond.goodPerSecond());
    }

    private static Replay replay(Trace trace, long seed, double load) {
        return new Replay(ScaledTrace.of(trace, load, seed), PolicyName.MERLINWOOD, seed);
    }
}
