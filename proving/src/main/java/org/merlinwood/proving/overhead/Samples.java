package org.merlinwood.proving.overhead;

import org.HdrHistogram.Histogram;

/** Durations of one measurement. Used by one thread. */
final class Samples {

    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN = 50;
    private static final double HIGH = 95;

    private final Histogram micros = new Histogram(DIGITS);
    private final String measure;
    private final String path;

    Samples(String measure, String path) {
        this.measure = measure;
        this.path = path;
    }

    /** Adds the duration of a number of calls, one after another. */
    void add(long millis, int calls) {
        micros.recordValue(Math.round(millis * MICROS_PER_MILLI / calls));
    }

    OverheadLine line() {
        return new OverheadLine(measure, path, micros.getTotalCount(), percentile(MEDIAN), percentile(HIGH));
    }

    private double percentile(double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
