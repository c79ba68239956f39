package org.merlinwood.decision.placement.impl;

import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.prefix.PrefixIndex;

/**
 * What one entry has learned from the prefills of a pool: which candidate may have which prefix in its cache, and how
 * many prompt tokens an instance computes per millisecond. Candidates are identified by their slots. Not thread-safe:
 * used by the entry's control thread only.
 */
public final class PrefillHistory {

    private static final int PREFIX_ROWS = 1 << 15;
    private static final long PREFIX_TTL_MILLIS = 600_000;
    private static final double DEFAULT_TOKENS_PER_MILLI = 8;
    private static final long MINIMUM_TOKENS_FOR_RATE = 256;
    private static final double RATE_SMOOTHING_FACTOR = 0.1;

    private final PrefixIndex prefixIndex = new PrefixIndex(PREFIX_ROWS, PREFIX_TTL_MILLIS);
    private final int[] matchedBlocks = new int[PrefixIndex.MAXIMUM_HOLDERS];
    private double tokensPerMilli = DEFAULT_TOKENS_PER_MILLI;
    private boolean rateKnown;

    /** Creates an empty history, with a default rate. */
    public PrefillHistory() {}

    /**
     * Records that a candidate may have all prefixes of a prompt in its cache.
     *
     * @param slot slot of the candidate
     * @param blocks the prefixes
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void recordCached(int slot, PrefixBlocks blocks, long nowMillis) {
        prefixIndex.recordStored(slot, blocks, nowMillis);
    }

    /**
     * Records that a candidate evicted prefixes from its cache.
     *
     * @param slot slot of the candidate
     * @param blocks the prefixes
     */
    public void recordEviction(int slot, PrefixBlocks blocks) {
        blocks.hashes().forEach(hash -> prefixIndex.recordEviction(slot, hash));
    }

    /**
     * Removes all prefixes of a slot, so that it can be given to another instance.
     *
     * @param slot the slot
     */
    public void clear(int slot) {
        prefixIndex.remove(slot);
    }

    /**
     * Computes how many leading tokens of a prompt each candidate may have in its cache, to be read with
     * {@link #cachedTokens}.
     *
     * @param blocks the prefixes of the prompt
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void match(PrefixBlocks blocks, long nowMillis) {
        prefixIndex.match(blocks, nowMillis, matchedBlocks);
    }

    /**
     * Returns how many leading tokens of the prompt that was matched last a candidate may have in its cache.
     *
     * @param slot slot of the candidate
     * @return number of tokens, a multiple of {@link PrefixBlocks#BLOCK_TOKENS}; 0 before the first match
     */
    public long cachedTokens(int slot) {
        return (long) matchedBlocks[slot] * PrefixBlocks.BLOCK_TOKENS;
    }

    /**
     * Updates the rate with a completed prefill. One that is too short to tell a rate is ignored.
     *
     * @param computedTokens prompt tokens that the instance computed, excluding cached tokens
     * @param millis duration of the prefill, in milliseconds
     */
    public void recordDuration(long computedTokens, long millis) {
        if (computedTokens >= MINIMUM_TOKENS_FOR_RATE && millis > 0) {
            updateRate((double) computedTokens / millis);
        }
    }

    /**
     * Updates the rate with a queue that a sidecar reported. An empty queue is ignored.
     *
     * @param queuedTokens prompt tokens whose prefill is not complete
     * @param expectedWaitMillis time that the sidecar predicts for them, in milliseconds
     */
    public void recordQueue(long queuedTokens, long expectedWaitMillis) {
        if (queuedTokens > 0 && expectedWaitMillis > 0) {
            updateRate((double) queuedTokens / expectedWaitMillis);
        }
    }

    /**
     * Predicts how long an instance of the pool computes.
     *
     * @param tokens number of prompt tokens
     * @return duration, in milliseconds
     */
    public long predictedMillis(double tokens) {
        return Math.round(tokens / tokensPerMilli);
    }

    private void updateRate(double observedTokensPerMilli) {
        double gain = rateKnown ? RATE_SMOOTHING_FACTOR : 1;
        rateKnown = true;
        tokensPerMilli += gain * (observedTokensPerMilli - tokensPerMilli);
    }
}
