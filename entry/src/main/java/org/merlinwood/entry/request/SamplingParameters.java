package org.merlinwood.entry.request;

/**
 * How an answer is generated. Immutable.
 *
 * @param maximumTokens length of the answer at most, in tokens, positive
 * @param temperature 0 for the likeliest token each time, at most 2
 * @param seed seed of the engine's random numbers
 */
public record SamplingParameters(int maximumTokens, double temperature, long seed) {}
