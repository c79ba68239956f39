package org.merlinwood.decision.placement;

import java.util.Objects;
import org.merlinwood.decision.prefix.PrefixBlocks;

/**
 * One request that needs an instance. Immutable.
 *
 * @param pieces engine memory that the request takes, in pieces; 1 for plain services
 * @param promptTokens length of the prompt, in tokens; 0 for plain services
 * @param blocks hashes of the prompt's prefixes, {@link PrefixBlocks#NONE} where unknown
 * @param nowMillis the monotonic time, in milliseconds
 * @param priority priority of the caller's class, 0 first
 */
public record PlacementQuery(int pieces, long promptTokens, PrefixBlocks blocks, long nowMillis, int priority) {

    /** Checks the parts. */
    public PlacementQuery {
        Objects.requireNonNull(blocks, "blocks");
        if (pieces < 0 || promptTokens < 0) {
            throw new IllegalArgumentException("pieces and tokens are not negative");
        }
    }
}
