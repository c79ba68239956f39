package org.merlinwood.core.identity;

/**
 * Name of a service, either a model service or a plain service.
 *
 * @param value the text, not blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Rejects a missing or blank text. */
    public ServiceName {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("ServiceName must not be blank");
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
