package org.merlinwood.gateway.decision;

/**
 * Which software version began a stream. Immutable.
 *
 * @param attempt identifier of the caller's attempt that brought the first event, or may bring it
 * @param version software version of the instance that the attempt was sent to
 * @param lifetimeMillis time for which the caller may take the stream up again, in milliseconds; positive
 */
public record StreamOrigin(String attempt, String version, long lifetimeMillis) {}
