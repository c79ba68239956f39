package org.merlinwood.core.identity;

/**
 * Revisions of the two configuration documents that are active in a process.
 *
 * @param inventory revision of the inventory, {@link #NONE} if none was received yet
 * @param rules revision of the rules, {@link #NONE} if none were received yet
 */
public record Revisions(long inventory, long rules) {

    /** Revision of a document that was not received yet. */
    public static final long NONE = 0;

    /**
     * Returns whether the other process has a later revision of either document.
     *
     * @param other revisions of the other process
     * @return true if at least one revision of the other process is higher
     */
    public boolean isBehind(Revisions other) {
        return inventory < other.inventory || rules < other.rules;
    }

    /**
     * Returns whether both documents were received.
     *
     * @return true if neither is {@link #NONE}
     */
    public boolean isComplete() {
        return inventory != NONE && rules != NONE;
    }
}
