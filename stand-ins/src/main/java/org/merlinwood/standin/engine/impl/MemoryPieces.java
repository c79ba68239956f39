package org.merlinwood.standin.engine.impl;

/** Memory of an engine, counted in pieces. Thread-safe. */
public final class MemoryPieces {

    private final int total;
    private int reserved;
    private int maximumReserved;

    /**
     * Creates memory without reservations.
     *
     * @param total number of pieces
     */
    public MemoryPieces(int total) {
        this.total = total;
    }

    /**
     * Reserves pieces if enough are free.
     *
     * @param pieces number of pieces
     * @return true if they were reserved
     */
    public synchronized boolean tryReserve(int pieces) {
        if (reserved + pieces > total) {
            return false;
        }
        reserved += pieces;
        maximumReserved = Math.max(maximumReserved, reserved);
        return true;
    }

    /**
     * Releases reserved pieces.
     *
     * @param pieces number of pieces
     */
    public synchronized void release(int pieces) {
        reserved -= pieces;
    }

    /** Returns the number of all pieces. */
    public int total() {
        return total;
    }

    /** Returns the number of pieces reserved now. */
    public synchronized int reserved() {
        return reserved;
    }

    /** Returns the highest number of pieces reserved at once since construction. */
    public synchronized int maximumReserved() {
        return maximumReserved;
    }
}
