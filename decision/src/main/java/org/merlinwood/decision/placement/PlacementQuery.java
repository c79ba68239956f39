package org.merlinwood.decision.placement;

import java.util.Objects;
import org.merlinwood.decision.prefix.PrefixBlocks;

/**
 * The properties of a request that placement depends on. Immutable.
 *
 * @param pieces engine memory that the request needs, in pieces; 1 for plain services
 * @param promptTokens length of the prompt, in tokens; 0 for plain services
 * @param blocks hashes of the prompt's prefixes, {@link PrefixBlocks#NONE} if unknown
 * @param nowMillis the monotonic time, in milliseconds
 * @param priority priority of the caller's class; 0 is the highest
 */
public record PlacementQuery(int pieces, long promptTokens, PrefixBlocks blocks, long nowMillis, int priority) {

    /** Rejects missing blocks and negative sizes. */
    public PlacementQuery {
        Objects.requireNonNull(blocks, "blocks");
        if (pieces < 0 || promptTokens < 0) {
            throw new IllegalArgumentException("pieces and promptTokens must not be negative");
        }
    }
}
