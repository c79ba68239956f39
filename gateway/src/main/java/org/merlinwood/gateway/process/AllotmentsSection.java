package org.merlinwood.gateway.process;

import java.util.List;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.operation.port.StateSection;

/** Section of the state dump that shows what the workspaces use. Confined to the event loop. */
final class AllotmentsSection implements StateSection {

    private final AllotmentLedger allotments;

    AllotmentsSection(AllotmentLedger allotments) {
        this.allotments = allotments;
    }

    /**
     * State of the section.
     *
     * @param share part of the rates that this entry and the reachable ones share, from 0 to 1
     * @param reachableEntries number of entries that report, this one included
     * @param possibleEntries number of entries that may exist, this one included
     * @param reportAgeMillis mean age of the reports of the other entries, in milliseconds
     * @param workspaces the workspaces with recent requests at any entry
     */
    record State(
            double share,
            int reachableEntries,
            int possibleEntries,
            long reportAgeMillis,
            List<AllotmentLedger.WorkspaceState> workspaces) {}

    @Override
    public String name() {
        return "allotments";
    }

    @Override
    public State state() {
        return new State(
                allotments.share(),
                allotments.reachableEntries(),
                allotments.possibleEntries(),
                allotments.reportAgeMillis(),
                allotments.workspaceStates());
    }
}
