package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;

/**
 * The requests that compete for the memory of each service, at this entry and, as reported, at the others. Reports and
 * counts nothing if the ranking of waiting requests is switched off. Confined to the event loop.
 */
public final class MemoryCompetition {

    private final MillisClock clock;
    private final boolean ranking;
    private final PeerWaitingRequests peers;
    private final Map<String, MemoryWaitQueue> queuesByService = new HashMap<>();
    private final Map<String, CountedReport> countedByService = new HashMap<>();

    /** A report and when it was counted: it is used for every request that is tried at the same moment. */
    private record CountedReport(long atMillis, int queueSize, List<EntryReport.WaitingRequests> report) {}

    /**
     * Creates a competition without requests.
     *
     * @param clock source of the monotonic time
     * @param ranking whether waiting requests are ranked
     */
    public MemoryCompetition(MillisClock clock, boolean ranking) {
        this.clock = clock;
        this.ranking = ranking;
        this.peers = new PeerWaitingRequests(clock);
    }

    /**
     * Returns whether waiting requests are ranked.
     *
     * @return false if each entry tries its requests on its own
     */
    public boolean ranking() {
        return ranking;
    }

    /**
     * Returns the queue of this entry for a service.
     *
     * @param service name of the service
     * @return the live queue, which is empty at the first call for the service
     */
    public MemoryWaitQueue queueOf(String service) {
        return queuesByService.computeIfAbsent(service, ignored -> new MemoryWaitQueue(clock, ranking));
    }

    /**
     * Returns the queues of this entry.
     *
     * @return the live queues, in no particular order
     */
    public List<MemoryWaitQueue> queues() {
        return List.copyOf(queuesByService.values());
    }

    /**
     * Returns the numbers of requests that wait at this entry, for the report to the others.
     *
     * @return one element for each service and priority with waiting requests; empty without the ranking
     */
    public List<EntryReport.WaitingRequests> ownReport() {
        return queuesByService.keySet().stream()
                .flatMap(service -> ownReport(service).stream())
                .toList();
    }

    private List<EntryReport.WaitingRequests> ownReport(String service) {
        if (!ranking) {
            return List.of();
        }
        long now = clock.monotonicMillis();
        MemoryWaitQueue queue = queueOf(service);
        CountedReport counted = countedByService.get(service);
        if (counted == null || counted.atMillis() != now || counted.queueSize() != queue.size()) {
            counted = new CountedReport(now, queue.size(), WaitRanking.report(service, queue.ranked(), now));
            countedByService.put(service, counted);
        }
        return counted.report();
    }

    /**
     * Replaces the report of another entry.
     *
     * @param address peer address of that entry
     * @param waiting the requests that wait there
     */
    public void onPeerReport(String address, List<EntryReport.WaitingRequests> waiting) {
        peers.update(address, waiting);
    }

    /**
     * Removes the report of another entry, after its session was lost.
     *
     * @param address peer address of that entry
     */
    public void onPeerLost(String address) {
        peers.remove(address);
    }

    /**
     * Returns the other waiting requests as one request sees them.
     *
     * @param service name of the service
     * @param priority priority of that request
     * @return numbers of requests at all entries; a waiting request of that priority counts itself among the others in
     *     time only if it is in time, when this number doesn't matter to it
     */
    public WaitRanking.Competition competition(String service, int priority) {
        List<EntryReport.WaitingRequests> all = new ArrayList<>(peers.of(service));
        all.addAll(ownReport(service));
        return WaitRanking.Competition.of(all, priority);
    }
}
