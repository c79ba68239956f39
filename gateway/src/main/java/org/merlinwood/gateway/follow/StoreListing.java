package org.merlinwood.gateway.follow;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A listing of all keys of the store in progress, page by page. Confined to the event loop. */
final class StoreListing {

    private final CopyConfirmation.Moment sentAt;
    private final Set<String> keys = new HashSet<>();
    private String lastKey = "";
    private Optional<StorePosition> start = Optional.empty();

    /** Creates a listing whose first page is requested at a moment. */
    StoreListing(CopyConfirmation.Moment sentAt) {
        this.sentAt = sentAt;
    }

    /** Returns when the first page was requested. */
    CopyConfirmation.Moment sentAt() {
        return sentAt;
    }

    /** Returns the last key of the pages so far, or an empty string before the first page. */
    String lastKey() {
        return lastKey;
    }

    /** Returns all keys of the pages so far. */
    Set<String> keys() {
        return keys;
    }

    /** Returns the position of the first page; empty before it. */
    Optional<StorePosition> start() {
        return start;
    }

    /** Returns whether the store was restored between the first page and this one. */
    boolean isOfOtherEra(StoreResponse.Changes page) {
        return start.filter(first -> first.era() != page.position().era()).isPresent();
    }

    /** Adds a page. */
    void add(StoreResponse.Changes page) {
        start = start.or(() -> Optional.of(page.position()));
        for (StoreChange change : page.changes()) {
            keys.add(change.key());
            lastKey = change.key();
        }
    }
}
