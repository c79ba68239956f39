package org.merlinwood.decision.suspicion;

/** How a request may run. */
public sealed interface SuspicionDecision {

    /** Nothing is known against it. */
    record Free() implements SuspicionDecision {}

    /**
     * It ran on an engine that ended, perhaps beside the cause: it may run alone.
     *
     * @param crashes engines that ended while it ran
     */
    record Isolate(int crashes) implements SuspicionDecision {}

    /**
     * It is being run alone elsewhere: it may be asked for again.
     *
     * @param retryAfterMillis when, in milliseconds from now
     */
    record Wait(long retryAfterMillis) implements SuspicionDecision {}

    /**
     * It is refused.
     *
     * @param crashes engines that ended while it ran
     * @param expiresInMillis how long, in milliseconds from now
     */
    record Quarantined(int crashes, long expiresInMillis) implements SuspicionDecision {}

    /**
     * Chooses the stricter of two verdicts, as two homes of the same fingerprint may know different crashes.
     *
     * @param first a verdict
     * @param second another
     * @return the stricter one
     */
    static SuspicionDecision stricter(SuspicionDecision first, SuspicionDecision second) {
        return rank(first) >= rank(second) ? first : second;
    }

    private static int rank(SuspicionDecision verdict) {
        return switch (verdict) {
            case Free free -> 0;
            case Isolate isolate -> 1;
            case Wait wait -> 2;
            case Quarantined quarantined -> 3;
        };
    }
}
