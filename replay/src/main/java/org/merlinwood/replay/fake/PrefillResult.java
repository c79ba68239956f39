package org.merlinwood.replay.fake;

/**
 * A KV cache that a prefill instance holds for its transfer. Immutable.
 *
 * @param holder the instance
 * @param computedTokens prompt tokens that were computed for it
 * @param bytes its size
 * @param begunMicros when its prefill began, in virtual microseconds
 * @param doneMicros when it was complete, in virtual microseconds
 */
public record PrefillResult(FakePrefill holder, long computedTokens, long bytes, long begunMicros, long doneMicros) {}
