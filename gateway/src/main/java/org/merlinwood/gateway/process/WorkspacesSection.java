package org.merlinwood.gateway.process;

import java.util.Optional;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.follow.CopyConfirmation;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.workspace.CopyState;
import org.merlinwood.gateway.workspace.RevocationLimit;
import org.merlinwood.gateway.workspace.Workspaces;
import org.merlinwood.operation.port.StateSection;

/**
 * Section of the state dump that shows how many workspaces and keys are in force, and how recent the copy is that says
 * so. Shows no key. Confined to the event loop.
 */
final class WorkspacesSection implements StateSection {

    private static final long UNKNOWN_AGE = -1;

    private final FleetState fleet;
    private final CopyConfirmation confirmation;
    private final RevocationLimit limit;

    WorkspacesSection(FleetState fleet, CopyConfirmation confirmation, RevocationLimit limit) {
        this.fleet = fleet;
        this.confirmation = confirmation;
        this.limit = limit;
    }

    /**
     * State of the section.
     *
     * @param callersIdentified whether the configuration has workspaces
     * @param workspaces number of workspaces that hold a key
     * @param keys number of keys
     * @param configurationVersion version of the configuration in force, 0 if none
     * @param copyAgeMillis time since the copy of the store was known to be complete, in milliseconds; -1 if unknown
     * @param higherVersionElsewhere whether another entry has a higher version of the configuration
     * @param maximumCopyAgeMillis age up to which keys are accepted, in milliseconds; -1 if it doesn't matter
     */
    record State(
            boolean callersIdentified,
            int workspaces,
            int keys,
            long configurationVersion,
            long copyAgeMillis,
            boolean higherVersionElsewhere,
            long maximumCopyAgeMillis) {}

    @Override
    public String name() {
        return "workspaces";
    }

    @Override
    public State state() {
        Optional<Workspaces> workspaces = fleet.routes().flatMap(RouteTable::workspaces);
        long version = fleet.routes().map(RouteTable::version).orElse(0L);
        CopyState copy = confirmation.state(version);
        return new State(
                workspaces.isPresent(),
                workspaces.map(Workspaces::workspaceCount).orElse(0),
                workspaces.map(Workspaces::keyCount).orElse(0),
                version,
                confirmation.ageMillis().orElse(UNKNOWN_AGE),
                copy.higherVersionElsewhere(),
                limit.maximumCopyAgeMillis().orElse(UNKNOWN_AGE));
    }
}
