package org.merlinwood.core.identity;

/**
 * One life of one process: drawn at random when the process starts, so that no two lives share it.
 *
 * @param value 64 random bits, never zero
 */
public record Incarnation(long value) {

    /** Checks the value. */
    public Incarnation {
        if (value == 0) {
            throw new IllegalArgumentException("an incarnation is not zero");
        }
    }

    @Override
    public String toString() {
        return "%016x".formatted(value);
    }
}
