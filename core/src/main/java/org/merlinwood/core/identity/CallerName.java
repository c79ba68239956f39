package org.merlinwood.core.identity;

/**
 * Name of a caller in the rules.
 *
 * @param value the text, not blank
 */
public record CallerName(String value) implements Comparable<CallerName> {

    /** Rejects a missing or blank text. */
    public CallerName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("CallerName must not be blank");
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
