package org.merlinwood.gateway.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Statistics of all instances that this entry has used or that other entries reported, by the identifier of the
 * instance. Confined to the event loop.
 */
final class FleetStatistics {

    private final Map<String, InstanceStatistics> statisticsByInstance = new HashMap<>();

    /** Returns the live statistics of an instance, which are empty at the first call for it. */
    InstanceStatistics of(String identifier) {
        return statisticsByInstance.computeIfAbsent(identifier, ignored -> new InstanceStatistics());
    }

    /** Removes the statistics of an instance, unless it still has work of this entry. */
    void remove(String identifier) {
        InstanceStatistics statistics = statisticsByInstance.get(identifier);
        if (statistics != null && statistics.idle()) {
            statisticsByInstance.remove(identifier);
        }
    }

    /** Returns the loads that instances have reported to this entry since the last call, the freshest of each. */
    List<EntryReport.InstanceLoad> drainReportedLoads(long nowMillis) {
        return statisticsByInstance.entrySet().stream()
                .flatMap(entry -> entry.getValue().reportedLoad().drainUnsent(entry.getKey(), nowMillis).stream())
                .toList();
    }

    /** Removes the work of another entry from the statistics of every instance. */
    void removePeer(String address) {
        statisticsByInstance.values().forEach(statistics -> statistics.removePeer(address));
    }

    /** Returns the work of this entry, one element for each instance that has some. */
    List<EntryStatus.InstanceWork> work() {
        return statisticsByInstance.entrySet().stream()
                .filter(entry -> !entry.getValue().idle())
                .map(entry -> entry.getValue().work(entry.getKey()))
                .toList();
    }
}
