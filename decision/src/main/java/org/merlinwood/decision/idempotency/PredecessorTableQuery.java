package org.merlinwood.decision.idempotency;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.identity.InstanceName;

/**
 * Collects the responses of other instances to find the sealed table of the predecessor of this process.
 *
 * <p>A table is used only if every instance that it was sent to returns it. An instance that no longer has the table
 * may have handed it out to another successor, which ran requests and then ended. Not thread-safe: used by the control
 * thread only.
 */
public final class PredecessorTableQuery {

    private final Set<InstanceName> pending = new HashSet<>();
    private final Set<InstanceName> instancesWithoutTable = new HashSet<>();
    private final Map<InstanceName, SealedTable> receivedTables = new HashMap<>();

    /**
     * Starts a query.
     *
     * @param candidates instances that may have the table
     */
    public PredecessorTableQuery(Set<InstanceName> candidates) {
        pending.addAll(candidates);
    }

    /**
     * Returns the instances that are still to be queried.
     *
     * @return a copy of their names
     */
    public Set<InstanceName> pending() {
        return Set.copyOf(pending);
    }

    /**
     * Records the response of an instance. The other holders of a returned table become pending.
     *
     * @param holder the instance
     * @param table the table that it returned, or empty if it had none
     */
    public void recordResponse(InstanceName holder, Optional<SealedTable> table) {
        pending.remove(holder);
        if (table.isEmpty()) {
            instancesWithoutTable.add(holder);
            return;
        }
        receivedTables.put(holder, table.get());
        table.get().holders().stream()
                .filter(other -> !receivedTables.containsKey(other) && !instancesWithoutTable.contains(other))
                .forEach(pending::add);
    }

    /**
     * Returns the predecessor's table.
     *
     * @return the table that was sealed last, or empty unless all of its holders returned it
     */
    public Optional<SealedTable> predecessorTable() {
        return receivedTables.values().stream()
                .min(Comparator.comparingLong(SealedTable::sealedMillis))
                .filter(this::isReceivedFromAllHolders);
    }

    private boolean isReceivedFromAllHolders(SealedTable table) {
        return table.holders().stream()
                .allMatch(holder -> receivedTables.containsKey(holder)
                        && receivedTables.get(holder).incarnation().equals(table.incarnation()));
    }
}
