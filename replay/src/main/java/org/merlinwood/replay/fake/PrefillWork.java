package org.merlinwood.replay.fake;

import java.util.function.Consumer;
import org.merlinwood.decision.prefix.PrefixBlocks;

/**
 * A prefill that runs as soon as its grant is issued. Immutable.
 *
 * @param promptTokens length of the prompt, in tokens
 * @param blocks prefix blocks of the prompt
 * @param started called when the prefill starts, with the number of prompt tokens to compute
 * @param done called with the result
 * @param lost called when the instance fails before the prefill has ended
 */
public record PrefillWork(
        long promptTokens, PrefixBlocks blocks, Consumer<Long> started, Consumer<PrefillResult> done, Runnable lost) {}
