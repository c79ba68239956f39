package org.merlinwood.gateway.route;

/**
 * Capacity and time limits of each instance of a model service.
 *
 * @param slots number of requests that run concurrently
 * @param memoryTokens size of the KV cache in tokens
 * @param tokensPerEvent number of tokens in one event of a response, at least 1
 * @param prefillResultMillis how long an instance retains a prefill result for its transfer, in milliseconds
 * @param reservationMillis maximum lease of a memory reservation, in milliseconds; 0 if the service has no reservations
 * @param switchMillis duration of a stage change, in milliseconds
 */
public record EngineLimits(
        int slots,
        int memoryTokens,
        int tokensPerEvent,
        long prefillResultMillis,
        long reservationMillis,
        long switchMillis) {}
