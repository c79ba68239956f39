package org.merlinwood.gateway.peer;

import java.util.List;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StorePosition;

/** Supplies the status and store changes of this entry to its peers, and receives theirs. Called on the event loop. */
public interface PeerListener {

    /**
     * Returns the status to send to all connected peers. Losses in the status are considered sent afterwards.
     *
     * @param address peer address of this entry, as IP:PORT
     * @param members addresses of the connected entries; empty if this status omits them
     * @return the current status of this entry
     */
    EntryStatus status(String address, List<String> members);

    /**
     * Called for each status received from another entry.
     *
     * @param status status of the other entry
     */
    void onStatus(EntryStatus status);

    /**
     * Called for each work update received from another entry that sends status messages.
     *
     * @param address peer address of the entry
     * @param work its work at some instances
     */
    void onWork(String address, List<EntryStatus.InstanceWork> work);

    /**
     * Called when no status has been received from another entry for too long.
     *
     * @param address peer address of the entry
     */
    void onLost(String address);

    /**
     * Returns whether this entry should request store changes from another entry.
     *
     * @param status status of the other entry
     * @return true if the other entry has changes that this entry has not received itself
     */
    boolean isBehind(EntryStatus status);

    /**
     * Returns the position of the store up to which this entry has all changes.
     *
     * @return the position, or {@link StorePosition#START} before the first listing is complete
     */
    StorePosition storePosition();

    /**
     * Returns the store changes to relay to another entry.
     *
     * @param after position of the other entry
     * @return latest state of each key that changed after that position
     */
    List<StoreChange> changesAfter(StorePosition after);

    /**
     * Called with store changes relayed by another entry.
     *
     * @param changes changed and removed keys
     * @param position position up to which the changes are complete
     */
    void onChanges(List<StoreChange> changes, StorePosition position);

    /**
     * Returns the streams whose attempts this entry sent, for entries that keep copies.
     *
     * @return the origins
     */
    List<StreamOrigin> ownOrigins();

    /**
     * Called with stream origins that another entry told.
     *
     * @param origins the origins
     */
    void onOrigins(List<StreamOrigin> origins);

    /**
     * Answers another entry that asks for the origin of a stream.
     *
     * @param question what it asks
     * @return what this entry knows
     */
    OriginPeers.Answers answer(OriginPeers.Question question);
}
