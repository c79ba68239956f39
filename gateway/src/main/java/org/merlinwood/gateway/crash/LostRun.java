package org.merlinwood.gateway.crash;

/**
 * A run that ended with a lost instance.
 *
 * @param fingerprint identifies the request by its content, see {@link CrashHistory#fingerprint}
 * @param instance identifier of the lost instance
 * @param suspicion how much speaks for the request as the cause
 */
public record LostRun(long fingerprint, String instance, Suspicion suspicion) {}
