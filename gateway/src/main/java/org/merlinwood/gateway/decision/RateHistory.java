package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
import org.merlinwood.core.time.MillisClock;

/**
 * Sliding history of a rate, used to distinguish sustained demand from a rise, a fall or a burst.
 *
 * <p>Reports 0 until it covers most of its length. Confined to the event loop.
 */
public final class RateHistory {

    /** Length of the history, in milliseconds: two windows of {@link DemandMeter}. */
    public static final long LENGTH_MILLIS = 2 * DemandMeter.WINDOW_MILLIS;

    /** Ratio of the newest to the oldest rate above which the rate is considered unstable. */
    private static final double MAXIMUM_STABLE_RISE_RATIO = 1.5;

    private final MillisClock clock;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    private record Sample(long atMillis, double rate) {}

    /**
     * Creates an empty history.
     *
     * @param clock source of the monotonic time
     */
    public RateHistory(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Adds the current rate. A rate of zero is ignored, since there is no demand before the traffic starts.
     *
     * @param rate current rate, in the same unit in every call
     */
    public void add(double rate) {
        long now = clock.monotonicMillis();
        if (rate > 0) {
            samples.addLast(new Sample(now, rate));
        }
        while (samples.size() > 1 && samples.peekFirst().atMillis() < now - LENGTH_MILLIS) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the highest rate of the history, if the rate is stable.
     *
     * @return the rate, or 0 if the history is too short or the rate has risen by more than half within it
     */
    public double stableMaximum() {
        if (!coversLength()
                || samples.peekLast().rate()
                        > MAXIMUM_STABLE_RISE_RATIO * samples.peekFirst().rate()) {
            return 0;
        }
        return samples.stream().mapToDouble(Sample::rate).max().orElse(0);
    }

    /**
     * Returns the lowest rate of the history.
     *
     * @return the rate, or 0 if the history is too short
     */
    public double minimum() {
        return coversLength() ? samples.stream().mapToDouble(Sample::rate).min().orElse(0) : 0;
    }

    private boolean coversLength() {
        return !samples.isEmpty()
                && clock.monotonicMillis() - samples.peekFirst().atMillis()
                        >= LENGTH_MILLIS - DemandMeter.WINDOW_MILLIS / 4;
    }
}
