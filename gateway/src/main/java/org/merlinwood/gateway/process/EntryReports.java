package org.merlinwood.gateway.process;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.decision.EntryReport;
import org.merlinwood.gateway.decision.EntryReport.AllotmentReport;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.MemoryCompetition;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.route.RouteTable;

/**
 * Composes the report of this entry for the status messages, and passes on those of the other entries. Confined to the
 * event loop.
 */
final class EntryReports {

    private final long incarnation;
    private final FleetState fleet;
    private final InstancePool pool;
    private final AllotmentLedger allotments;
    private final MemoryCompetition memoryCompetition;
    private final IntSupplier knownEntries;
    private final BooleanSupplier memberListReceived;
    private final BooleanSupplier leaving;

    /**
     * Creates the reports of one life of an entry.
     *
     * @param incarnation differs between two lives of this entry
     * @param fleet has the configuration in force
     * @param pool has the loads that instances reported to this entry
     * @param allotments counts what the workspaces use
     * @param memoryCompetition has the requests that wait for memory
     * @param knownEntries returns the number of known entries, this one included
     * @param memberListReceived returns whether another entry has sent its list of members
     * @param leaving returns whether this entry is about to end
     */
    EntryReports(
            long incarnation,
            FleetState fleet,
            InstancePool pool,
            AllotmentLedger allotments,
            MemoryCompetition memoryCompetition,
            IntSupplier knownEntries,
            BooleanSupplier memberListReceived,
            BooleanSupplier leaving) {
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.pool = pool;
        this.allotments = allotments;
        this.memoryCompetition = memoryCompetition;
        this.knownEntries = knownEntries;
        this.memberListReceived = memberListReceived;
        this.leaving = leaving;
    }

    /** Returns the report of this entry. Called once for each status, since loads of instances are sent once. */
    EntryReport own() {
        long version = fleet.routes().map(RouteTable::version).orElse(0L);
        return new EntryReport(
                incarnation,
                version,
                allotmentReport(),
                pool.sharedWork().drainReportedLoads(),
                memoryCompetition.ownReport());
    }

    /** Passes on the report of another entry. */
    void onStatus(EntryStatus status) {
        allotments.onReport(
                status.address(), status.report().incarnation(), status.report().allotments());
        memoryCompetition.onPeerReport(status.address(), status.report().waitingRequests());
    }

    /** Called when no status has been received from another entry for too long. */
    void onLost(String address) {
        allotments.onPeerLost(address);
        memoryCompetition.onPeerLost(address);
    }

    private AllotmentReport allotmentReport() {
        allotments.entryCounts(knownEntries.getAsInt(), memberListReceived.getAsBoolean());
        return fleet.routes().flatMap(RouteTable::workspaces).isPresent()
                ? allotments.report(leaving.getAsBoolean())
                : AllotmentReport.EMPTY;
    }
}
