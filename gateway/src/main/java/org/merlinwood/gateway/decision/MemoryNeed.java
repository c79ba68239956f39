package org.merlinwood.gateway.decision;

import java.util.List;
import org.merlinwood.gateway.route.EngineLimits;

/**
 * Memory that an instance must have free for another response.
 *
 * @param startTokens memory for the prompt and the first events, in tokens; positive
 * @param freeTokens memory that must be free now, so that there is room for the growth of this response and of those in
 *     progress, in tokens; at least {@code startTokens}
 */
public record MemoryNeed(int startTokens, int freeTokens) {

    /** Number of response events whose memory is reserved together with that of the prompt. */
    private static final int STARTING_EVENTS = 8;

    /**
     * Returns the need of a response beside those in progress.
     *
     * @param inProgress the responses in progress at the instance
     * @param next the additional response, before its first event
     * @param limits limits of the instance
     * @return the need, at most the memory of the instance
     */
    static MemoryNeed of(List<MemoryForecast.Growth> inProgress, MemoryForecast.Growth next, EngineLimits limits) {
        long start = Math.min(
                next.occupiedTokens() + (long) limits.tokensPerEvent() * STARTING_EVENTS, limits.memoryTokens());
        long free = Math.min(MemoryForecast.freeTokensFor(inProgress, next), limits.memoryTokens());
        return new MemoryNeed((int) start, (int) Math.max(start, free));
    }
}
