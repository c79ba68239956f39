package org.merlinwood.following;

import java.util.List;

/**
 * What a follower knows and does, for the state dump. Immutable.
 *
 * @param ready whether the process may serve
 * @param readsService whether this process watches the configuration service itself
 * @param subscribedTo address of the peer that sends revisions to this process, empty if none
 * @param subscribers how many peers get revisions from this process
 * @param serviceFailures failed calls of the configuration service, one after the other, up to now
 * @param inventory the inventory
 * @param rules the rules
 */
public record FollowerState(
        boolean ready,
        boolean readsService,
        String subscribedTo,
        int subscribers,
        int serviceFailures,
        Document inventory,
        Document rules) {

    /**
     * One document. Immutable.
     *
     * @param revision the revision in force, 0 if none
     * @param digest SHA-256 of its text in hexadecimal digits, empty if none
     * @param origin who gave it, empty if none
     * @param inForceMillis for how long it has been in force, in milliseconds
     * @param rejectedRevision the latest revision that was rejected, 0 if none since the last accepted one
     * @param rejectedBecause why, with line and column, a sentence each
     */
    public record Document(
            long revision,
            String digest,
            String origin,
            long inForceMillis,
            long rejectedRevision,
            List<String> rejectedBecause) {

        /** Copies the list. */
        public Document {
            rejectedBecause = List.copyOf(rejectedBecause);
        }
    }
}
