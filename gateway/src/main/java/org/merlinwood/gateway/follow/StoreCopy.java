package org.merlinwood.gateway.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The newest known state of every key, removed ones included for a while, so that peers can be told what has changed.
 *
 * <p>Used by the event loop alone. A key never goes back to an older revision.
 */
public final class StoreCopy {

    /** Removed keys that are remembered; the oldest go first. A release of every instance leaves a few hundred. */
    private static final int REMEMBERED_REMOVALS = 4_096;

    private final Map<String, StoreChange> keys = new HashMap<>();
    private long revision;
    private int removals;

    /**
     * Takes a change over.
     *
     * @param change the change
     * @return false if the key already has a state as new or newer
     */
    public boolean apply(StoreChange change) {
        StoreChange before = keys.get(change.key());
        if (before != null && before.revision() >= change.revision()) {
            return false;
        }
        keys.put(change.key(), change);
        if (change.value().isEmpty()) {
            removals++;
            forgetOldRemovals();
        }
        return true;
    }

    /**
     * Notes that everything up to a revision is known.
     *
     * @param known the revision; lower ones than before are left out
     */
    public void advance(long known) {
        revision = Math.max(revision, known);
    }

    /**
     * Returns the revision up to which everything is known.
     *
     * @return the revision, 0 at the beginning
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns what has changed behind a revision.
     *
     * @param after the revision
     * @return the newest state of each key that changed since
     */
    public List<StoreChange> changesAfter(long after) {
        return keys.values().stream()
                .filter(change -> change.revision() > after)
                .toList();
    }

    /**
     * Returns the keys that exist here, were last changed up to a revision and are absent from a whole listing.
     *
     * @param listed all keys of the listing
     * @param upTo revision at the start of the listing
     * @return the keys that are gone from the store
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

    private void forgetOldRemovals() {
        if (removals <= REMEMBERED_REMOVALS) {
            return;
        }
        keys.values().stream()
                .filter(change -> change.value().isEmpty())
                .min((one, other) -> Long.compare(one.revision(), other.revision()))
                .ifPresent(oldest -> {
                    keys.remove(oldest.key());
                    removals--;
                });
    }
}
