package org.merlinwood.standin.engine.impl;

/** Memory of an engine in pieces. Thread-safe. */
public final class MemoryPieces {

    private final int total;
    private int held;
    private int maximumHeld;

    /**
     * Creates free memory.
     *
     * @param total its size in pieces
     */
    public MemoryPieces(int total) {
        this.total = total;
    }

    /**
     * Takes pieces if they are free.
     *
     * @param pieces how many
     * @return true if they were taken
     */
    public synchronized boolean tryTake(int pieces) {
        if (held + pieces > total) {
            return false;
        }
        held += pieces;
        maximumHeld = Math.max(maximumHeld, held);
        return true;
    }

    /**
     * Frees pieces.
     *
     * @param pieces how many were taken
     */
    public synchronized void free(int pieces) {
        held -= pieces;
    }

    /** Returns the size in pieces. */
    public int total() {
        return total;
    }

    /** Returns the pieces held now. */
    public synchronized int held() {
        return held;
    }

    /** Returns the most pieces held at once. */
    public synchronized int maximumHeld() {
        return maximumHeld;
    }
}
