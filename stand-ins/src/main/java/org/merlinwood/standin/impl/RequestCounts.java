package org.merlinwood.standin.impl;

/**
 * Request counts of a stand-in since its start. Written as JSON on the administration port.
 *
 * @param calls all requests, refused ones included
 * @param refused requests over the limit
 * @param highestCallsPerSecond highest number of requests in one window of a second
 */
public record RequestCounts(long calls, long refused, long highestCallsPerSecond) {}
