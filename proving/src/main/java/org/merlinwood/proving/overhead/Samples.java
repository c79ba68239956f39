package org.merlinwood.proving.overhead;

import org.HdrHistogram.Histogram;

/** Collects the durations of one measurement. Not thread-safe: used by one thread. */
final class Samples {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double HIGH_PERCENTILE = 95;

    private final Histogram micros = new Histogram(SIGNIFICANT_DIGITS);
    private final String measure;
    private final String path;

    Samples(String measure, String path) {
        this.measure = measure;
        this.path = path;
    }

    /** Adds the total duration of a number of sequential requests as one sample, their mean. */
    void add(long millis, int requests) {
        micros.recordValue(Math.round(millis * MICROS_PER_MILLI / requests));
    }

    OverheadLine line() {
        return new OverheadLine(
                measure, path, micros.getTotalCount(), percentile(MEDIAN_PERCENTILE), percentile(HIGH_PERCENTILE));
    }

    private double percentile(double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
