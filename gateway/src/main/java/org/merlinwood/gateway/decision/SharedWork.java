package org.merlinwood.gateway.decision;

import java.util.List;

/**
 * The work at instances that entries report to each other in their status messages: that of this entry for the others,
 * and that of the others for the statistics of this one. Confined to the event loop.
 */
public final class SharedWork {

    private final FleetStatistics statistics;

    SharedWork(FleetStatistics statistics) {
        this.statistics = statistics;
    }

    /**
     * Returns the work of this entry, to be sent to the other entries.
     *
     * @return one element for each instance with work of this entry
     */
    public List<EntryStatus.InstanceWork> own() {
        return statistics.work();
    }

    /**
     * Replaces what is known of the work of another entry.
     *
     * @param status status message of that entry
     */
    public void updatePeer(EntryStatus status) {
        removePeer(status.address());
        status.work().forEach(work -> statistics.of(work.instance()).updatePeer(status.address(), work));
    }

    /**
     * Removes the work of another entry, after its session was lost.
     *
     * @param address peer address of that entry
     */
    public void removePeer(String address) {
        statistics.removePeer(address);
    }
}
