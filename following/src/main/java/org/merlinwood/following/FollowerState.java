package org.merlinwood.following;

import java.util.List;

/**
 * Snapshot of a follower for the state dump. Immutable.
 *
 * @param ready whether the process may serve requests
 * @param readsService whether this process watches the configuration service
 * @param subscribedTo address of the peer that sends revisions to this process, empty if none
 * @param subscribers number of peers that subscribe to this process
 * @param serviceFailures number of consecutive failed requests to the configuration service
 * @param inventory state of the inventory
 * @param rules state of the rules
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
     * State of one document. Immutable.
     *
     * @param revision the active revision, 0 if none
     * @param digest SHA-256 of the active text in hexadecimal digits, empty if none
     * @param origin the service or peer that provided the active text, empty if none
     * @param inForceMillis time since the active text was activated, in milliseconds
     * @param rejectedRevision the latest rejected revision that is higher than the active one, 0 if none
     * @param rejectedBecause the errors of the rejected revision, each with line and column
     */
    public record Document(
            long revision,
            String digest,
            String origin,
            long inForceMillis,
            long rejectedRevision,
            List<String> rejectedBecause) {

        /** Copies the list of errors. */
        public Document {
            rejectedBecause = List.copyOf(rejectedBecause);
        }
    }
}
