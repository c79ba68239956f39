package org.merlinwood.gateway.peer;

import java.util.List;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.follow.StoreChange;

/** What sessions with other entries need of this one. Called on the event loop. */
public interface PeerListener {

    /**
     * Returns what this entry has to tell.
     *
     * @param address its own peer address
     * @param members addresses of the entries that it has sessions with
     * @return the news
     */
    EntryStatus status(String address, List<String> members);

    /**
     * Another entry told its news.
     *
     * @param news the news
     */
    void onStatus(EntryStatus news);

    /**
     * Another entry fell silent or ended.
     *
     * @param address its peer address
     */
    void onLost(String address);

    /**
     * Tells whether this entry lacks changes of the store that another one has.
     *
     * @param news news of the other
     * @return true if its changes are wanted
     */
    boolean isBehind(EntryStatus news);

    /**
     * Returns the revision up to which this entry knows the store.
     *
     * @return the revision
     */
    long storeRevision();

    /**
     * Returns changes for another entry.
     *
     * @param after the revision that it has
     * @return the changes behind it
     */
    List<StoreChange> changesAfter(long after);

    /**
     * Takes changes that another entry relayed.
     *
     * @param changes the changes
     * @param revision revision up to which they are complete
     */
    void onChanges(List<StoreChange> changes, long revision);
}
