package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
import org.merlinwood.core.time.MillisClock;

/**
 * Rates of the last while, to tell a lasting demand from a rise, a fall or a burst. Used by the event loop alone.
 *
 * <p>Knows nothing before it has looked back over its whole length.
 */
public final class RateHistory {

    /** How far it looks back, in milliseconds: two windows of {@link DemandMeter}. */
    public static final long LENGTH_MILLIS = 2 * DemandMeter.WINDOW_MILLIS;

    /** Rise of the rate over the whole length above which it is not settled. */
    private static final double SETTLED_RISE = 1.5;

    private final MillisClock clock;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    private record Sample(long atMillis, double rate) {}

    /**
     * Creates an empty history.
     *
     * @param clock the time
     */
    public RateHistory(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Adds the rate of now. Zero rates are left out: nobody asks before the traffic begins.
     *
     * @param rate any unit, always the same
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
     * Returns the highest rate of the last while.
     *
     * @return the rate, or 0 while too little is known or the rate has risen by half since the first look
     */
    public double stableMaximum() {
        if (!whole()
                || samples.peekLast().rate()
                        > SETTLED_RISE * samples.peekFirst().rate()) {
            return 0;
        }
        return samples.stream().mapToDouble(Sample::rate).max().orElse(0);
    }

    /**
     * Returns the rate that held all the while.
     *
     * @return the lowest rate, or 0 while too little is known
     */
    public double minimum() {
        return whole() ? samples.stream().mapToDouble(Sample::rate).min().orElse(0) : 0;
    }

    private boolean whole() {
        return !samples.isEmpty()
                && clock.monotonicMillis() - samples.peekFirst().atMillis()
                        >= LENGTH_MILLIS - DemandMeter.WINDOW_MILLIS / 4;
    }
}
