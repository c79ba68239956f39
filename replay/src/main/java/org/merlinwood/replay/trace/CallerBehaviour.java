package org.merlinwood.replay.trace;

/**
 * How callers react to missing responses and refusals. Immutable.
 *
 * @param patienceMillis time after which a caller without a first token disconnects, in milliseconds
 * @param maximumSends maximum number of attempts of one request, including the first
 * @param resendMillis delay before a new attempt if the refusal stated no delay, in milliseconds
 */
public record CallerBehaviour(long patienceMillis, int maximumSends, long resendMillis) {}
