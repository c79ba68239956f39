package org.merlinwood.core.identity;

/**
 * Name of an instance in the inventory.
 *
 * @param value the text, not blank
 */
public record InstanceName(String value) implements Comparable<InstanceName> {

    /** Rejects a missing or blank text. */
    public InstanceName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("InstanceName must not be blank");
        }
    }

    @Override
    public int compareTo(InstanceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
