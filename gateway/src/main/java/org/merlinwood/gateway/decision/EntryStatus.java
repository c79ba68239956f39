package org.merlinwood.gateway.decision;

import java.util.List;

/**
 * What one entry tells the others. Immutable.
 *
 * @param address where it accepts sessions, as IP:PORT
 * @param members addresses of the entries that it has sessions with
 * @param storeRevision revision of the store up to which it knows every change
 * @param work its work at each instance
 * @param lostRuns requests whose runs ended with a lost instance since the news before
 * @param demands what callers asked of each service of late
 * @param switching instances that were ordered to change their stage and are not back
 * @param highestFencingToken highest fencing token of an order that it knows of
 */
public record EntryStatus(
        String address,
        List<String> members,
        long storeRevision,
        List<InstanceWork> work,
        List<LostRun> lostRuns,
        List<ServiceDemand> demands,
        List<String> switching,
        long highestFencingToken) {

    /** Copies the lists. */
    public EntryStatus {
        members = List.copyOf(members);
        work = List.copyOf(work);
        lostRuns = List.copyOf(lostRuns);
        demands = List.copyOf(demands);
        switching = List.copyOf(switching);
    }

    /**
     * Work of one entry at one instance.
     *
     * @param instance identifier of the instance
     * @param running requests
     * @param promptTokens tokens of prompts that wait or are being computed
     * @param generations the answers under way
     */
    public record InstanceWork(
            String instance, int running, int promptTokens, List<MemoryForecast.Growth> generations) {

        /** Copies the answers. */
        public InstanceWork {
            generations = List.copyOf(generations);
        }
    }

    /**
     * A run that ended with a lost instance.
     *
     * @param fingerprint names the request by its content
     * @param instance the instance
     */
    public record LostRun(long fingerprint, String instance) {}

    /**
     * What callers asked of one service within the last {@link DemandMeter#WINDOW_MILLIS}.
     *
     * @param service its name
     * @param promptTokens tokens of prompts
     * @param requestsWithoutCapacity requests that found no room
     */
    public record ServiceDemand(String service, int promptTokens, int requestsWithoutCapacity) {}
}
