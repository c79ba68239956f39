package org.merlinwood.gateway.route;

/**
 * What each instance of a model service holds.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens of KV cache
 * @param tokensPerEvent tokens that one event of an answer stands for, at least 1
 * @param prefillResultMillis how long a computed prompt is kept for a transfer, in milliseconds
 * @param reservationMillis longest lease of reserved memory, in milliseconds
 * @param switchMillis how long a change of stage takes, in milliseconds
 */
public record EngineLimits(
        int slots,
        int memoryTokens,
        int tokensPerEvent,
        long prefillResultMillis,
        long reservationMillis,
        long switchMillis) {}
