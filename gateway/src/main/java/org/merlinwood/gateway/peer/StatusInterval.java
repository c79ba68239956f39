package org.merlinwood.gateway.peer;

/** How often an entry sends its status, and for how long another one may be silent. Stateless. */
final class StatusInterval {

    /**
     * Minimum interval between two status messages, in milliseconds: a tenth of the time to the first event of a
     * stream.
     */
    private static final long MINIMUM_MILLIS = 100;

    /**
     * Number of entries up to which the minimum interval is used. With more entries the interval grows, so that each
     * entry still receives the same number of messages per second.
     */
    private static final int FULL_RATE_ENTRIES = 8;

    /** Minimum time without a status after which the work of another entry is ignored, in milliseconds. */
    private static final long MINIMUM_SILENCE_MILLIS = 1_000;

    /** Number of status intervals without a message after which an entry is considered silent. */
    private static final int MISSED_STATUS_LIMIT = 4;

    private StatusInterval() {}

    /** Returns the interval for a number of other entries, in milliseconds. */
    static long millis(int otherEntries) {
        return MINIMUM_MILLIS * Math.max(1, otherEntries / FULL_RATE_ENTRIES);
    }

    /** Returns the time without a status after which another entry is silent, in milliseconds. */
    static long silenceMillis(int otherEntries) {
        return Math.max(MINIMUM_SILENCE_MILLIS, MISSED_STATUS_LIMIT * millis(otherEntries));
    }
}
