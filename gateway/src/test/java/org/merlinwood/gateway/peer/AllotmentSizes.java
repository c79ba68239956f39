package org.merlinwood.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.allotment.AllotmentLimits;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.decision.EntryReport;
import org.merlinwood.gateway.decision.EntryReport.AllotmentReport;
import org.merlinwood.gateway.decision.EntryReport.AllotmentUse;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.workspace.Allotment;
import org.merlinwood.gateway.workspace.AllotmentUnit;

/**
 * Measures the bytes that allotments add to a status, and the memory that a ledger retains when all entries report all
 * workspaces. Run by hand with a heap of 2 GB; the design page of the allotments has the figures.
 */
final class AllotmentSizes {

    private static final int[] WORKSPACES = {16, 195, 6_700};
    private static final int[] ENTRIES = {30, 320};
    private static final long REQUEST_UNITS = 5_900;
    private static final int REQUESTS = 1_000;
    private static final int COLLECTIONS = 4;
    private static final long COLLECTION_PAUSE_MILLIS = 100;
    private static final Allotment ALLOTMENT = new Allotment(AllotmentUnit.TOKENS, 180_000_000, 180_000_000, 200);

    private AllotmentSizes() {}

    /** Prints one line for each size. */
    public static void main(String[] arguments) throws InterruptedException {
        for (int workspaces : WORKSPACES) {
            AllotmentReport report = report(workspaces);
            int bytes = statusBytes(report) - statusBytes(AllotmentReport.EMPTY);
            for (int entries : ENTRIES) {
                System.out.printf(
                        "%d workspaces, %d entries: %d bytes in a status, %d bytes retained%n",
                        workspaces, entries, bytes, retainedBytes(workspaces, entries, report));
            }
        }
    }

    private static AllotmentReport report(int workspaces) {
        AllotmentLedger ledger = ledger();
        for (int request = 0; request < REQUESTS; request++) {
            for (int workspace = 0; workspace < workspaces; workspace++) {
                ledger.admit(name(workspace), ALLOTMENT, REQUEST_UNITS);
            }
        }
        return ledger.report(false);
    }

    private static AllotmentLedger ledger() {
        ManualMillisClock clock = new ManualMillisClock(0);
        AllotmentLedger ledger = new AllotmentLedger(1, clock, new AllotmentLimits(8_000, 0.25, 73_000));
        clock.advanceMillis(8_000);
        return ledger;
    }

    private static String name(int workspace) {
        return "workspace" + workspace;
    }

    private static int statusBytes(AllotmentReport report) {
        EntryStatus status = new EntryStatus(
                "10.0.0.1:8146",
                List.of(),
                new StorePosition(1, 1_000),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                0,
                List.of(),
                CrashReport.EMPTY,
                new EntryReport(1, 1, report, List.of(), List.of()));
        return PeerMessages.status(status).build().getSerializedSize();
    }

    private static long retainedBytes(int workspaces, int entries, AllotmentReport report) throws InterruptedException {
        long before = usedBytes();
        AllotmentLedger ledger = ledger();
        for (int workspace = 0; workspace < workspaces; workspace++) {
            ledger.admit(name(workspace), ALLOTMENT, REQUEST_UNITS);
        }
        for (int peer = 1; peer < entries; peer++) {
            // Each message brings names of its own.
            List<AllotmentUse> copies = new ArrayList<>();
            report.uses()
                    .forEach(use -> copies.add(new AllotmentUse(
                            String.valueOf(use.workspace().toCharArray()),
                            use.period(),
                            use.admitted(),
                            use.offered())));
            AllotmentReport copy = new AllotmentReport(report.entriesSeen(), report.leaving(), copies);
            ledger.onReport("peer-" + peer, 1, copy);
            ledger.onReport("peer-" + peer, 1, copy);
        }
        long after = usedBytes();
        if (ledger.activeWorkspaces() != workspaces) {
            throw new IllegalStateException("the ledger has " + ledger.activeWorkspaces() + " workspaces");
        }
        return after - before;
    }

    private static long usedBytes() throws InterruptedException {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
            Thread.sleep(COLLECTION_PAUSE_MILLIS);
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
