package org.merlinwood.gateway.upstream;

/**
 * Load that an instance told of with an answer.
 *
 * @param running requests that ran
 * @param waiting requests that waited
 * @param slots requests that it runs at once
 */
public record UpstreamLoad(int running, int waiting, int slots) {}
