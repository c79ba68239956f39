package org.merlinwood.proving.overhead;

/**
 * One line of the measurement.
 *
 * @param measure what was measured
 * @param path {@code direct} to the stand-in, or {@code through} entry and sidecar; the process for start to ready
 * @param samples number of samples
 * @param medianMillis the median, in milliseconds
 * @param millis95 95 in 100 are at most this, in milliseconds
 */
record OverheadLine(String measure, String path, long samples, double medianMillis, double millis95) {}
