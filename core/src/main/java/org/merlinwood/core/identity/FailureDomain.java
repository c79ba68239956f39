package org.merlinwood.core.identity;

/**
 * Name of one failure domain.
 *
 * @param value the text, not blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Checks the text. */
    public FailureDomain {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("FailureDomain needs a text");
        }
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
