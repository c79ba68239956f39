package org.merlinwood.gateway.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;

/** The requests that wait for memory at other entries, as these have reported them. Confined to the event loop. */
public final class PeerWaitingRequests {

    /** Time for which a report counts, in milliseconds: as long as an entry that falls silent is remembered. */
    private static final long VALID_MILLIS = 1_200;

    private final MillisClock clock;
    private final Map<String, Report> reports = new HashMap<>();

    private record Report(long receivedMillis, List<EntryReport.WaitingRequests> waiting) {}

    /**
     * Creates an empty record.
     *
     * @param clock source of the monotonic time
     */
    public PeerWaitingRequests(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Replaces the report of another entry.
     *
     * @param address peer address of that entry
     * @param waiting the requests that wait there; empty if none
     */
    public void update(String address, List<EntryReport.WaitingRequests> waiting) {
        if (waiting.isEmpty()) {
            reports.remove(address);
        } else {
            reports.put(address, new Report(clock.monotonicMillis(), waiting));
        }
    }

    /**
     * Removes the report of another entry, after its session was lost.
     *
     * @param address peer address of that entry
     */
    public void remove(String address) {
        reports.remove(address);
    }

    /**
     * Returns the reports that still count for a service.
     *
     * @param service name of the service
     * @return reports of all entries, several elements of the same priority possible
     */
    public List<EntryReport.WaitingRequests> of(String service) {
        long oldestMillis = clock.monotonicMillis() - VALID_MILLIS;
        return reports.values().stream()
                .filter(report -> report.receivedMillis() >= oldestMillis)
                .flatMap(report -> report.waiting().stream())
                .filter(requests -> requests.service().equals(service))
                .toList();
    }
}
