package org.merlinwood.gateway.follow;

/**
 * A point in the history of the configuration store. A store that is restored from a backup begins a new era, in which
 * it gives out again the revisions that it lost; so a position of a higher era is later, whatever the revisions.
 *
 * @param era number of restores, not negative; 0 for a store that doesn't tell it
 * @param revision revision of the store within the era, not negative
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

    /** The position before anything was read. */
    public static final StorePosition START = new StorePosition(0, 0);

    /** More revisions than a store can lose in a restore from a backup that is some seconds old. */
    private static final long MAXIMUM_LOST_REVISIONS = 1 << 16;

    /**
     * Returns whether this position is later than another one.
     *
     * @param other the other position
     * @return true if it is of a higher era, or of the same era and a higher revision
     */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns the position just before this one.
     *
     * @return the position with the revision before this one, in the same era
     */
    public StorePosition previous() {
        return new StorePosition(era, revision - 1);
    }

    /**
     * Returns a number that rises with the position, also over a restore, as the start of a fencing token.
     *
     * @return the number; 0 or less only at the start of a store without an era
     */
    public long fencingTerm() {
        return era * MAXIMUM_LOST_REVISIONS + revision;
    }

    @Override
    public int compareTo(StorePosition other) {
        return era != other.era ? Long.compare(era, other.era) : Long.compare(revision, other.revision);
    }
}
