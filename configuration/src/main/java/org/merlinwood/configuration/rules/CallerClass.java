package org.merlinwood.configuration.rules;

/**
 * One row of the table of classes of callers. Immutable.
 *
 * @param name unique name
 * @param priority 0 is served first, up to 9
 * @param firstTokenTargetMillis target for the first token, in milliseconds
 * @param betweenTokensTargetMillis target between two tokens, in milliseconds
 * @param share relative share among classes of the same priority, positive
 * @param concurrentRequests how many requests one caller may have open at one entry, positive
 */
public record CallerClass(
        String name,
        int priority,
        long firstTokenTargetMillis,
        long betweenTokensTargetMillis,
        double share,
        int concurrentRequests) {}
