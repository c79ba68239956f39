package org.merlinwood.core.identity;

/**
 * Name of one model, as callers give it.
 *
 * @param value the text, not blank
 */
public record ModelName(String value) implements Comparable<ModelName> {

    /** Checks the text. */
    public ModelName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("ModelName needs a text");
        }
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
