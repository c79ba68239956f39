package org.merlinwood.core.identity;

/**
 * Identifies a request of a caller across all its attempts, by 128 random bits.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record RequestIdentifier(long high, long low) {

    @Override
    public String toString() {
        return "%016x%016x".formatted(high, low);
    }
}
