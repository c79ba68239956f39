package org.merlinwood.gateway.peer;

import java.util.List;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.WorkUpdate;

/**
 * Sends changes of the work of this entry to the other entries between two status messages, and receives theirs.
 * Confined to the event loop.
 */
final class WorkSessions {

    /** Number of entries up to which each change of work is sent at once; the messages grow with its square. */
    private static final int MAXIMUM_UPDATED_ENTRIES = 64;

    private final PeerLinks links;
    private final ReceivedStatuses receivedStatuses;
    private final PeerListener listener;

    /**
     * Creates sessions that have sent nothing.
     *
     * @param links the reachable entries that take work updates
     * @param receivedStatuses tells which entries send status messages
     * @param listener receives the work of other entries
     */
    WorkSessions(PeerLinks links, ReceivedStatuses receivedStatuses, PeerListener listener) {
        this.links = links;
        this.receivedStatuses = receivedStatuses;
        this.listener = listener;
    }

    /**
     * Sends the work of this entry at some instances to all entries that take it. Does nothing in a fleet of more than
     * {@link #MAXIMUM_UPDATED_ENTRIES}.
     */
    void send(String ownAddress, List<EntryStatus.InstanceWork> work) {
        if (links.knownCount() > MAXIMUM_UPDATED_ENTRIES) {
            return;
        }
        Frame.Builder frame = PeerMessages.workUpdate(ownAddress, work);
        links.reachable().forEach(address -> links.send(address, frame.clone()));
    }

    /** Passes on the work of an entry whose silence would be noticed, so that its work is removed again. */
    void onUpdate(WorkUpdate update) {
        if (receivedStatuses.contains(update.getAddress())) {
            listener.onWork(update.getAddress(), PeerMessages.work(update));
        }
    }
}
