package org.merlinwood.replay.fake;

/**
 * A KV cache that a prefill instance holds for transfer to a decode instance. Immutable.
 *
 * @param holder the prefill instance
 * @param computedTokens number of prompt tokens that were computed, without cached ones
 * @param bytes size of the KV cache, in bytes
 * @param startedMicros start of the prefill, in microseconds of virtual time
 * @param doneMicros end of the prefill, in microseconds of virtual time
 */
public record PrefillResult(FakePrefill holder, long computedTokens, long bytes, long startedMicros, long doneMicros) {}
