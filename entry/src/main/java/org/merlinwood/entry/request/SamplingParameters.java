package org.merlinwood.entry.request;

/**
 * Parameters for the generation of a response. Immutable.
 *
 * @param maximumTokens maximum length of the response, in tokens, positive
 * @param temperature sampling temperature from 0 to 2; 0 always selects the most likely token
 * @param seed seed of the engine's random number generator
 */
public record SamplingParameters(int maximumTokens, double temperature, long seed) {}
