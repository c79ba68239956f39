package org.merlinwood.gateway.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Latest known state of every key in the store. Recently removed keys are retained, so that removals can be relayed to
 * peers.
 *
 * <p>Not thread-safe: used on the event loop only. A key is never replaced by a state of an older revision.
 */
public final class StoreCopy {

    /** Number of removed keys that are retained. Replacing every instance during a release removes a few hundred. */
    private static final int RETAINED_REMOVALS = 4_096;

    private final Map<String, StoreChange> keys = new HashMap<>();
    private long revision;
    private int removalCount;

    /**
     * Applies a change.
     *
     * @param change new state of a key
     * @return false if the key already has a state of the same or a later revision
     */
    public boolean apply(StoreChange change) {
        StoreChange previous = keys.get(change.key());
        if (previous != null && previous.revision() >= change.revision()) {
            return false;
        }
        keys.put(change.key(), change);
        if (change.value().isEmpty()) {
            removalCount++;
            evictOldestRemoval();
        }
        return true;
    }

    /**
     * Records that all changes up to a revision have been applied.
     *
     * @param completeRevision the revision; ignored if it is lower than the current one
     */
    public void advance(long completeRevision) {
        revision = Math.max(revision, completeRevision);
    }

    /**
     * Returns the revision up to which all changes have been applied.
     *
     * @return the revision, or 0 before the first listing is complete
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the keys that changed after a revision.
     *
     * @param after revision of the store, exclusive
     * @return latest state of each key that changed later, in no particular order
     */
    public List<StoreChange> changesAfter(long after) {
        return keys.values().stream()
                .filter(change -> change.revision() > after)
                .toList();
    }

    /**
     * Returns removals for the keys that a complete listing no longer contains. Keys that changed after the listing
     * started are not included.
     *
     * @param listed all keys of the listing
     * @param upTo revision at the start of the listing
     * @return a removal at revision {@code upTo} for each missing key
     */
    public List<StoreChange> missingFrom(Set<String> listed, long upTo) {
        List<StoreChange> missing = new ArrayList<>();
        for (StoreChange change : keys.values()) {
            if (change.value().isPresent() && change.revision() <= upTo && !listed.contains(change.key())) {
                missing.add(new StoreChange(change.key(), upTo, Optional.empty()));
            }
        }
        return missing;
    }

    private void evictOldestRemoval() {
        if (removalCount <= RETAINED_REMOVALS) {
            return;
        }
        keys.values().stream()
                .filter(change -> change.value().isEmpty())
                .min((one, other) -> Long.compare(one.revision(), other.revision()))
                .ifPresent(oldest -> {
                    keys.remove(oldest.key());
                    removalCount--;
                });
    }
}
