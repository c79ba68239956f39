package org.merlinwood.configuration.rules;

/**
 * Limits that apply to the whole fleet. Immutable.
 *
 * @param retryHorizonMillis how long an idempotency key is retained and may be sent again, in milliseconds
 * @param keyTableEntries maximum number of idempotency keys that one instance retains
 * @param storedAnswerBytes maximum total size of the responses that one instance stores for its keys, in bytes
 * @param grantMillis validity of an unused grant, in milliseconds
 * @param drainMillis time that a draining process has to complete its work, in milliseconds
 * @param retryBudgetPercent maximum number of retries per hundred first attempts
 * @param bodyBytes maximum size of a request body, in bytes
 * @param deadlineMillis deadline of a request that does not specify one, in milliseconds
 * @param quarantineMillis how long a request that crashed engines stays quarantined and is refused, in milliseconds
 * @param clockBoundMillis maximum difference between two wall clocks of the fleet, in milliseconds
 */
public record Limits(
        long retryHorizonMillis,
        int keyTableEntries,
        long storedAnswerBytes,
        long grantMillis,
        long drainMillis,
        int retryBudgetPercent,
        int bodyBytes,
        long deadlineMillis,
        long quarantineMillis,
        long clockBoundMillis) {}
