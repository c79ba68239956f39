package org.merlinwood.decision.idempotency;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.identity.InstanceName;

/**
 * Finds out whether the process that ran here before has left its sealed table.
 *
 * <p>A table counts only if every instance that it was sent to gives it: one that has it no more may have given it to a
 * successor that ran keys and died. Not thread-safe: used by the control thread only.
 */
public final class PredecessorTableQuery {

    private final Set<InstanceName> pending = new HashSet<>();
    private final Set<InstanceName> empty = new HashSet<>();
    private final Map<InstanceName, SealedTable> given = new HashMap<>();

    /**
     * Starts to ask.
     *
     * @param candidates instances that may have the table
     */
    public PredecessorTableQuery(Set<InstanceName> candidates) {
        pending.addAll(candidates);
    }

    /**
     * Lists whom to ask still.
     *
     * @return names of instances
     */
    public Set<InstanceName> pending() {
        return Set.copyOf(pending);
    }

    /**
     * An instance has answered.
     *
     * @param custodian the instance
     * @param table the table that it gave away, or empty if it had none
     */
    public void recordResponse(InstanceName custodian, Optional<SealedTable> table) {
        pending.remove(custodian);
        if (table.isEmpty()) {
            empty.add(custodian);
            return;
        }
        given.put(custodian, table.get());
        table.get().holders().stream()
                .filter(other -> !given.containsKey(other) && !empty.contains(other))
                .forEach(pending::add);
    }

    /**
     * Returns the predecessor's table.
     *
     * @return the table that was sealed last, or empty if not every one of its custodians gave it
     */
    public Optional<SealedTable> predecessorTable() {
        return given.values().stream()
                .min(Comparator.comparingLong(SealedTable::sealedMillis))
                .filter(this::isGivenByAll);
    }

    private boolean isGivenByAll(SealedTable table) {
        return table.holders().stream()
                .allMatch(custodian -> given.containsKey(custodian)
                        && given.get(custodian).incarnation().equals(table.incarnation()));
    }
}
