package org.merlinwood.replay.fake;

/**
 * One request to a plain service instance. Equality depends on the identity of the two callbacks.
 *
 * @param done called when the response has arrived
 * @param lost called when the instance failed before responding
 */
public record PlainRequestWork(Runnable done, Runnable lost) {}
