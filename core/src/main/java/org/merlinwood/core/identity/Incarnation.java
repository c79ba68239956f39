package org.merlinwood.core.identity;

/**
 * Identifies one run of a process. Chosen at random when the process starts, so that a restarted process is told apart
 * from its earlier incarnations.
 *
 * @param value 64 random bits, never zero
 */
public record Incarnation(long value) {

    /** Rejects zero. */
    public Incarnation {
        if (value == 0) {
            throw new IllegalArgumentException("incarnation must not be zero");
        }
    }

    @Override
    public String toString() {
        return "%016x".formatted(value);
    }
}
