package org.merlinwood.replay.measure;

import java.util.Locale;

/**
 * One bound that the product's policy is held to, with what was measured. Immutable.
 *
 * @param trace name of the trace
 * @param name what is bounded
 * @param limit the bound
 * @param atLeast true if the figure must not be below the bound, false if not above
 * @param figure what was measured
 */
public record Bound(String trace, String name, double limit, boolean atLeast, double figure) {

    /**
     * Tells whether the figure keeps the bound.
     *
     * @return true if it does
     */
    public boolean isMet() {
        return atLeast ? figure >= limit : figure <= limit;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "bound %s %s %s (%.4f, %s %.4f)",
                trace,
                name,
                isMet() ? "MET" : "MISSED",
                figure,
                atLeast ? "at least" : "at most",
                limit);
    }
}
