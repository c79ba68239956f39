package org.merlinwood.core.identity;

/**
 * Idempotency key of a request, minted by an entry or chosen by the caller.
 *
 * @param value the text, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

    /** Rejects a missing or blank text. */
    public IdempotencyKey {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("IdempotencyKey must not be blank");
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
