package org.merlinwood.gateway.decision;

/**
 * Memory that an instance must have free for another response.
 *
 * @param startTokens memory for the prompt and the first events, in tokens; positive
 * @param freeTokens memory that must be free now, so that there is room for the growth of this response and of those in
 *     progress, in tokens; at least {@code startTokens}
 */
public record MemoryNeed(int startTokens, int freeTokens) {}
