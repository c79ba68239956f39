package org.merlinwood.replay.trace;

/**
 * What callers do when they get no answer. Immutable.
 *
 * @param patienceMillis how long a caller waits for the first token before it leaves, in milliseconds
 * @param maximumSends how often one request is sent at most, the first time included
 * @param resendMillis when a caller comes back that was told no time, in milliseconds
 */
public record CallerBehaviour(long patienceMillis, int maximumSends, long resendMillis) {}
