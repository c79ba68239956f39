package org.merlinwood.gateway.workspace;

import java.util.OptionalLong;

/**
 * How much a workspace may use, over all entries together: a token bucket. Immutable.
 *
 * @param unit what is counted
 * @param ratePerSecond units per second
 * @param burst units that may be used at once in addition
 * @param unitsWithoutPrompt units of a request that states no tokens, if tokens are counted
 */
public record Allotment(AllotmentUnit unit, double ratePerSecond, double burst, long unitsWithoutPrompt) {

    /**
     * Returns how much a request counts.
     *
     * @param tokens prompt tokens and maximum number of response tokens; empty for a plain request
     * @return number of units, at least 0
     */
    public long unitsOf(OptionalLong tokens) {
        return switch (unit) {
            case REQUESTS -> 1;
            case TOKENS -> tokens.orElse(unitsWithoutPrompt);
        };
    }
}
