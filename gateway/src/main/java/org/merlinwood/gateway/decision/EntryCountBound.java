package org.merlinwood.gateway.decision;

/**
 * Bounds the number of entries among which a limit of all entries is divided: the known entries and some that may have
 * been added since. Stateless.
 */
public final class EntryCountBound {

    /** Lowest bound, so that a small site can grow. */
    private static final int MINIMUM_ENTRIES = 8;

    /** Bound as a multiple of the known entries, so that a site can grow. */
    private static final double GROWTH_FACTOR = 1.5;

    /** Bound while the fleet is not known: the size of a large fleet. */
    private static final int UNKNOWN_FLEET_ENTRIES = 320;

    private EntryCountBound() {}

    /**
     * Returns the bound.
     *
     * @param knownEntries largest number of entries known at the same time, this one included
     * @param memberListReceived whether another entry has sent its list of members; without one the number known may be
     *     that of the seeds alone
     * @return number of entries, at least 1
     */
    public static int of(int knownEntries, boolean memberListReceived) {
        if (!memberListReceived) {
            return Math.max(UNKNOWN_FLEET_ENTRIES, knownEntries);
        }
        return Math.max(MINIMUM_ENTRIES, (int) Math.ceil(knownEntries * GROWTH_FACTOR));
    }
}
