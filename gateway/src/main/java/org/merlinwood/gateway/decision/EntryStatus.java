package org.merlinwood.gateway.decision;

import java.util.List;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.crash.LostRun;
import org.merlinwood.gateway.follow.StorePosition;

/**
 * Status message that an entry sends periodically to every other entry. Immutable.
 *
 * @param address address on which the entry accepts peer sessions, as IP:PORT
 * @param members addresses of the entries with which it has sessions
 * @param storePosition position of the store up to which it has seen every change
 * @param work its work at each instance
 * @param lostRuns runs that ended with a lost instance since the previous status message
 * @param demands recent demand of callers, one element per service
 * @param switching identifiers of the instances that were ordered to change their stage and have not finished
 * @param highestFencingToken highest fencing token of an order that it knows of; 0 if none
 * @param leaving instances that have recently stated to it that they leave
 * @param crashReport crashes of instances, and the parts of prompts that it blocks because of them
 * @param report what it reports of its configuration, of workspaces, of loads of instances and of waiting requests
 */
public record EntryStatus(
        String address,
        List<String> members,
        StorePosition storePosition,
        List<InstanceWork> work,
        List<LostRun> lostRuns,
        List<ServiceDemand> demands,
        List<String> switching,
        long highestFencingToken,
        List<LeavingInstance> leaving,
        CrashReport crashReport,
        EntryReport report) {

    /** Copies the lists. */
    public EntryStatus {
        members = List.copyOf(members);
        work = List.copyOf(work);
        lostRuns = List.copyOf(lostRuns);
        demands = List.copyOf(demands);
        switching = List.copyOf(switching);
        leaving = List.copyOf(leaving);
    }

    /**
     * Work of one entry at one instance.
     *
     * @param instance identifier of the instance
     * @param running number of requests in progress
     * @param promptTokens tokens of the prompts that are queued or being computed
     * @param generations memory use of the responses in progress
     */
    public record InstanceWork(
            String instance, int running, int promptTokens, List<MemoryForecast.Growth> generations) {

        /** Copies the list of generations. */
        public InstanceWork {
            generations = List.copyOf(generations);
        }
    }

    /**
     * One start of an instance that leaves.
     *
     * @param instance identifier of the instance
     * @param startedUnixMillis its start, see {@link org.merlinwood.gateway.fleet.UpstreamInstance}
     */
    public record LeavingInstance(String instance, long startedUnixMillis) {}

    /**
     * Demand of callers for one service within the last {@link DemandMeter#WINDOW_MILLIS}.
     *
     * @param service name of the service
     * @param promptTokens sum of the prompt lengths, in tokens
     * @param requestsWithoutCapacity number of times that a request found no instance with capacity
     */
    public record ServiceDemand(String service, int promptTokens, int requestsWithoutCapacity) {}
}
