package org.merlinwood.core.identity;

/**
 * Name of one service: a model service or a plain one.
 *
 * @param value the text, not blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Checks the text. */
    public ServiceName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("ServiceName needs a text");
        }
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
