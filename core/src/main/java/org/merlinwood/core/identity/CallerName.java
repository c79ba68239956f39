package org.merlinwood.core.identity;

/**
 * Name of one caller, as in the rules.
 *
 * @param value the text, not blank
 */
public record CallerName(String value) implements Comparable<CallerName> {

    /** Checks the text. */
    public CallerName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("CallerName needs a text");
        }
    }

    @Override
    public int compareTo(CallerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
