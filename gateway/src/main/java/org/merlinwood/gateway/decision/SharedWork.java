package org.merlinwood.gateway.decision;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;

/**
 * The work at instances that entries report to each other in their status messages: that of this entry for the others,
 * and that of the others for the statistics of this one. Confined to the event loop.
 */
public final class SharedWork {

    private final FleetStatistics statistics;
    private final MillisClock clock;
    private final Set<String> changedInstances = new LinkedHashSet<>();
    private Runnable changeListener = () -> {};

    SharedWork(FleetStatistics statistics, MillisClock clock) {
        this.statistics = statistics;
        this.clock = clock;
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
     * Returns the loads that instances have reported to this entry since the last call, to be sent to the other
     * entries.
     *
     * @return the freshest load of each instance that reports its speed
     */
    public List<EntryReport.InstanceLoad> drainReportedLoads() {
        return statistics.drainReportedLoads(clock.monotonicMillis());
    }

    /**
     * Sets what follows the first change of the work of this entry after the last call of {@link #takeChanges()}.
     *
     * @param listener called within the change
     */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Records that the work of this entry at an instance has changed. */
    void recordChange(String identifier) {
        boolean first = changedInstances.isEmpty();
        changedInstances.add(identifier);
        if (first) {
            changeListener.run();
        }
    }

    /**
     * Returns the work of this entry at the instances where it has changed since the last call.
     *
     * @return one element for each of them, also if it has no work there any more
     */
    public List<EntryStatus.InstanceWork> takeChanges() {
        List<EntryStatus.InstanceWork> changes = changedInstances.stream()
                .map(identifier -> statistics.of(identifier).work(identifier))
                .toList();
        changedInstances.clear();
        return changes;
    }

    /**
     * Replaces what is known of the work of another entry at some instances.
     *
     * @param address peer address of that entry
     * @param work its work at these instances
     */
    public void updatePeer(String address, List<EntryStatus.InstanceWork> work) {
        work.forEach(update -> statistics.of(update.instance()).updatePeer(address, update));
    }

    /**
     * Replaces what is known of the work of another entry, and records the loads that instances reported to it.
     *
     * @param status status message of that entry
     */
    public void updatePeer(EntryStatus status) {
        removePeer(status.address());
        status.work().forEach(work -> statistics.of(work.instance()).updatePeer(status.address(), work));
        long now = clock.monotonicMillis();
        status.report()
                .instanceLoads()
                .forEach(load -> statistics.of(load.instance()).reportedLoad().recordRelayed(load, now));
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
