package org.merlinwood.configuration.rules;

/**
 * Bounds that hold for the whole fleet. Immutable.
 *
 * @param retryHorizonMillis how long a key is remembered and may be sent again, in milliseconds
 * @param keyTableEntries keys that one instance remembers at most
 * @param storedAnswerBytes bytes of answers that one instance stores for its keys at most
 * @param grantMillis how long an unused grant is honoured, in milliseconds
 * @param drainMillis how long a leaving process finishes what it has, in milliseconds
 * @param retryBudgetPercent repeated attempts per hundred first attempts
 * @param bodyBytes size of a request's body at most, in bytes
 * @param deadlineMillis deadline of a request that names none, in milliseconds
 * @param quarantineMillis how long a request that crashed engines is refused, in milliseconds
 * @param clockBoundMillis how far apart two wall clocks of the fleet may be, in milliseconds
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
