package org.merlinwood.core.identity;

/**
 * Name of one instance, as in the inventory.
 *
 * @param value the text, not blank
 */
public record InstanceName(String value) implements Comparable<InstanceName> {

    /** Checks the text. */
    public InstanceName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("InstanceName needs a text");
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
