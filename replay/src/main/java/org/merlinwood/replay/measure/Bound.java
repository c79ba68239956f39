package org.merlinwood.replay.measure;

import java.util.Locale;

/**
 * A bound on a figure of the product's policy, with the measured figure. Immutable.
 *
 * @param trace name of the trace
 * @param name name of the bounded figure
 * @param limit minimum or maximum of the figure
 * @param atLeast true if the limit is a minimum, false if it is a maximum
 * @param figure the measured figure
 */
public record Bound(String trace, String name, double limit, boolean atLeast, double figure) {

    /**
     * Returns whether the figure is within the bound.
     *
     * @return true if the bound is met
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
