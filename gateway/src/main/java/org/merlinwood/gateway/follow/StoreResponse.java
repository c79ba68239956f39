package org.merlinwood.gateway.follow;

import java.util.List;

/** A decoded response of the configuration store to a list or watch request. */
public sealed interface StoreResponse {

    /**
     * One page of a listing, or the changes since a watched revision.
     *
     * @param changes state of each listed or changed key, in any order
     * @param hasMore whether the listing has another page
     * @param position position of the store at the time of the response
     */
    record Changes(List<StoreChange> changes, boolean hasMore, StorePosition position) implements StoreResponse {

        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /** The store no longer retains changes since the requested revision; all keys have to be listed again. */
    record HistoryCompacted() implements StoreResponse {}

    /**
     * A connection failed that was open before, which says little about the store.
     *
     * @param reason cause of the failure, for logs
     * @param silent whether nothing came in time; otherwise the connection has ended
     */
    record ConnectionFailed(String reason, boolean silent) implements StoreResponse {}

    /**
     * The request failed, or its response could not be read.
     *
     * @param reason cause of the failure, for logs
     */
    record Failed(String reason) implements StoreResponse {}
}
