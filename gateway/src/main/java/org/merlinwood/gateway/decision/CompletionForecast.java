package org.merlinwood.gateway.decision;

/**
 * When a request is expected to complete at an instance that reports its speed. Immutable.
 *
 * @param units time until the response is complete, in units of the usual time of work
 * @param expectedMillis the same in milliseconds; 0 before the usual time of work is known
 * @param reportAgeMillis age of the last report of the instance, in milliseconds
 */
public record CompletionForecast(double units, long expectedMillis, long reportAgeMillis) {}
