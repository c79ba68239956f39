package org.merlinwood.decision.suspicion;

/** Decision on whether a request may run, by the prefixes of its prompt. */
public sealed interface PrefixDecision {

    /** No crash is recorded for any prefix. */
    record Free() implements PrefixDecision {}

    /** The request may run. Its first token must be reported, since it shows that its prefixes crash no engine. */
    record Watch() implements PrefixDecision {}

    /**
     * The request is refused, since a prefix of its prompt crashes engines.
     *
     * @param crashes number of crashes that are recorded for the prefix
     * @param expiresInMillis remaining time of the refusal, in milliseconds
     */
    record Refuse(int crashes, long expiresInMillis) implements PrefixDecision {}

    /**
     * Returns the stricter of two decisions, since two homes of the same prefixes may have recorded different crashes.
     *
     * @param first a decision
     * @param second another decision
     * @return the stricter decision; the first if both are equally strict
     */
    static PrefixDecision stricter(PrefixDecision first, PrefixDecision second) {
        return rank(first) >= rank(second) ? first : second;
    }

    private static int rank(PrefixDecision decision) {
        return switch (decision) {
            case Free free -> 0;
            case Watch watch -> 1;
            case Refuse refuse -> 2;
        };
    }
}
