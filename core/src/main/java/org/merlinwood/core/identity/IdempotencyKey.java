package org.merlinwood.core.identity;

/**
 * Idempotency key of a request: minted by an entry, or the caller's own.
 *
 * @param value the text, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

    /** Checks the text. */
    public IdempotencyKey {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("IdempotencyKey needs a text");
        }
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
