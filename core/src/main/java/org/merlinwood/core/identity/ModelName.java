package org.merlinwood.core.identity;

/**
 * Name of a model, as used in requests.
 *
 * @param value the text, not blank
 */
public record ModelName(String value) implements Comparable<ModelName> {

    /** Rejects a missing or blank text. */
    public ModelName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("ModelName must not be blank");
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
