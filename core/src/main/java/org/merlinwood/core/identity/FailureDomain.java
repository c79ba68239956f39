package org.merlinwood.core.identity;

/**
 * Name of a failure domain.
 *
 * @param value the text, not blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Rejects a missing or blank text. */
    public FailureDomain {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("FailureDomain must not be blank");
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
