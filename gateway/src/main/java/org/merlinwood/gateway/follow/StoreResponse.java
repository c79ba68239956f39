package org.merlinwood.gateway.follow;

import java.util.List;

/** What the store answered. */
public sealed interface StoreResponse {

    /**
     * A page of keys, or changes since a revision.
     *
     * @param changes the keys, in any order
     * @param hasMore whether another page follows
     * @param revision the store's revision
     */
    record Changes(List<StoreChange> changes, boolean hasMore, long revision) implements StoreResponse {

        /** Copies the list. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /** The changes that were asked for are forgotten; everything has to be read again. */
    record HistoryCompacted() implements StoreResponse {}

    /**
     * The store did not answer the question.
     *
     * @param reason why, for logs
     */
    record Failed(String reason) implements StoreResponse {}
}
