package org.merlinwood.replay.fake;

/**
 * One call of a plain service. Compared by identity of its listeners.
 *
 * @param done runs when the answer is there
 * @param lost runs when the instance ended first
 */
public record PlainCall(Runnable done, Runnable lost) {}
