package org.merlinwood.configuration.rules;

/**
 * A class of callers, one row of the {@code classes} table. Immutable.
 *
 * @param name unique name
 * @param priority from 0, which is served first, to 9
 * @param firstTokenTargetMillis target time to the first token, in milliseconds
 * @param betweenTokensTargetMillis target time between two tokens, in milliseconds
 * @param share relative share of capacity among classes of the same priority, positive
 * @param concurrentRequests maximum number of open requests of one caller at one entry, positive
 */
public record CallerClass(
        String name,
        int priority,
        long firstTokenTargetMillis,
        long betweenTokensTargetMillis,
        double share,
        int concurrentRequests) {}
