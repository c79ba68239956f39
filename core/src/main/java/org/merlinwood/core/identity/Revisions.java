package org.merlinwood.core.identity;

/**
 * Revisions of the two documents that a process has in force.
 *
 * @param inventory revision of the inventory, {@link #NONE} before the first
 * @param rules revision of the rules, {@link #NONE} before the first
 */
public record Revisions(long inventory, long rules) {

    /** The revision of a document that was never seen. */
    public static final long NONE = 0;

    /**
     * Tells whether the other process knows something that this one doesn't.
     *
     * @param other revisions of the other process
     * @return true if either of the other's revisions is higher
     */
    public boolean isBehind(Revisions other) {
        return inventory < other.inventory || rules < other.rules;
    }

    /**
     * Tells whether both documents were seen.
     *
     * @return true if neither is {@link #NONE}
     */
    public boolean isComplete() {
        return inventory != NONE && rules != NONE;
    }
}
