package org.merlinwood.replay.fake;

import java.util.function.Consumer;
import org.merlinwood.decision.prefix.PrefixBlocks;

/**
 * A prefill that runs as soon as its grant is given. Immutable.
 *
 * @param promptTokens length of the prompt, in tokens
 * @param blocks its prefixes
 * @param started gets the prompt tokens that are computed, when the prefill begins
 * @param done gets the result
 * @param lost runs when the instance ends first
 */
public record PrefillWork(
        long promptTokens, PrefixBlocks blocks, Consumer<Long> started, Consumer<PrefillResult> done, Runnable lost) {}
