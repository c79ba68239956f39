package org.merlinwood.gateway.follow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Latest known state of every key in the store. Recently removed keys are retained, so that removals can be relayed to
 * peers.
 *
 * <p>Not thread-safe: used on the event loop only. A key is never replaced by a state of an earlier position.
 */
public final class StoreCopy {

    /** Number of removed keys that are retained. Replacing every instance during a release removes a few hundred. */
    private static final int RETAINED_REMOVALS = 4_096;

    private final Map<String, StoreChange> keys = new HashMap<>();
    private StorePosition position = StorePosition.START;
    private int removalCount;

    /**
     * Applies a change.
     *
     * @param change new state of a key
     * @return false if the key already has a state of the same or a later position
     */
    public boolean apply(StoreChange change) {
        StoreChange previous = keys.get(change.key());
        if (previous != null && !change.position().isAfter(previous.position())) {
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
     * Records that all changes up to a position have been applied.
     *
     * @param complete the position; ignored if it is earlier than the current one
     */
    public void advance(StorePosition complete) {
        if (complete.isAfter(position)) {
            position = complete;
        }
    }

    /**
     * Returns the position up to which all changes have been applied.
     *
     * @return the position, or {@link StorePosition#START} before the first listing is complete
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Returns whether a key is known to be removed.
     *
     * @param key key in the store
     * @return false if it is present or was never seen
     */
    public boolean isRemoved(String key) {
        StoreChange change = keys.get(key);
        return change != null && change.value().isEmpty();
    }

    /**
     * Returns the keys that changed after a position.
     *
     * @param after position of the store, exclusive
     * @return latest state of each key that changed later, in no particular order
     */
    public List<StoreChange> changesAfter(StorePosition after) {
        return keys.values().stream()
                .filter(change -> change.position().isAfter(after))
                .toList();
    }

    /**
     * Returns removals for the keys that a complete listing no longer contains. Keys that changed after the listing
     * started are not included.
     *
     * @param listed all keys of the listing
     * @param upTo position at the start of the listing
     * @return a removal at position {@code upTo} for each missing key
     */
    public List<StoreChange> missingFrom(Set<String> listed, StorePosition upTo) {
        List<StoreChange> missing = new ArrayList<>();
        for (StoreChange change : keys.values()) {
            if (change.value().isPresent() && !change.position().isAfter(upTo) && !listed.contains(change.key())) {
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
                .min(Comparator.comparing(StoreChange::position))
                .ifPresent(oldest -> {
                    keys.remove(oldest.key());
                    removalCount--;
                });
    }
}
