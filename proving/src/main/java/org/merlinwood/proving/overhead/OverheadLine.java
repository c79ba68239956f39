package org.merlinwood.proving.overhead;

/**
 * A printed line of the measurement. Immutable.
 *
 * @param measure the measured quantity
 * @param path {@code direct} to the stand-in, or {@code through} entry and sidecar; for start to ready, the process
 * @param samples number of samples
 * @param medianMillis median in milliseconds
 * @param millis95 95th percentile in milliseconds
 */
record OverheadLine(String measure, String path, long samples, double medianMillis, double millis95) {}
