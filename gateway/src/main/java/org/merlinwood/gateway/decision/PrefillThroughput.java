package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Estimates the throughput of one prefill instance at the usual speed from recent prefills. Confined to the event loop.
 */
final class PrefillThroughput {

    /**
     * Number of recent prefills whose speed is kept. The throughput is their 75th percentile, since most prompts wait
     * behind others and are measured too slow.
     */
    private static final int SAMPLES = 32;

    /**
     * Assumed throughput until the first prefill has completed, in tokens per millisecond. It is low because a process
     * that has just started does not know the prompts of the other entries either.
     */
    private static final double UNKNOWN_TOKENS_PER_MILLI = 8;

    private final ArrayDeque<Double> speeds = new ArrayDeque<>();
    private double tokensPerMilli;

    /**
     * Records a completed prefill: its tokens, its duration in milliseconds, the time in the queue included, and how
     * long work takes at its instance, relative to the usual time.
     */
    void record(int tokens, long latencyMillis, double workFactor) {
        speeds.addLast(tokens * workFactor / Math.max(1, latencyMillis));
        if (speeds.size() > SAMPLES) {
            speeds.removeFirst();
        }
        List<Double> sorted = speeds.stream().sorted().toList();
        tokensPerMilli = sorted.get(sorted.size() * 3 / 4);
    }

    /** Returns the throughput in tokens per millisecond, 0 before the first prefill has completed. */
    double tokensPerMilli() {
        return tokensPerMilli;
    }

    /**
     * Returns the time that the tokens take at an instance where work takes so long relative to the usual time, in
     * milliseconds; a cautious guess before the first prefill.
     */
    long expectedMillis(int tokens, double workFactor) {
        return Math.round(tokens * workFactor / (tokensPerMilli > 0 ? tokensPerMilli : UNKNOWN_TOKENS_PER_MILLI));
    }
}
