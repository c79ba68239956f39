package org.merlinwood.decision.suspicion;

/** Decision on whether and how a request may run. */
public sealed interface SuspicionDecision {

    /** No crash is recorded for the request; it may run without restrictions. */
    record Free() implements SuspicionDecision {}

    /**
     * The request ran on an engine that crashed, possibly because of another request: it may run only alone on an
     * engine.
     *
     * @param crashes number of engines that crashed while the request ran
     */
    record Isolate(int crashes) implements SuspicionDecision {}

    /**
     * The request is a suspect that already runs alone elsewhere; the decision can be requested again later.
     *
     * @param retryAfterMillis when to request it again, in milliseconds from now
     */
    record Wait(long retryAfterMillis) implements SuspicionDecision {}

    /**
     * The request is refused.
     *
     * @param crashes number of engines that crashed while the request ran
     * @param expiresInMillis remaining time of the quarantine, in milliseconds
     */
    record Quarantined(int crashes, long expiresInMillis) implements SuspicionDecision {}

    /**
     * Returns the stricter of two decisions, since two homes of the same fingerprint may have recorded different
     * crashes.
     *
     * @param first a decision
     * @param second another decision
     * @return the stricter decision; the first if both are equally strict
     */
    static SuspicionDecision stricter(SuspicionDecision first, SuspicionDecision second) {
        return rank(first) >= rank(second) ? first : second;
    }

    private static int rank(SuspicionDecision decision) {
        return switch (decision) {
            case Free free -> 0;
            case Isolate isolate -> 1;
            case Wait wait -> 2;
            case Quarantined quarantined -> 3;
        };
    }
}
