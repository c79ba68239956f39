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
public final class PredecessorInquiry {

    private final Set<InstanceName> open = new HashSet<>();
    private final Set<InstanceName> empty = new HashSet<>();
    private final Map<InstanceName, SealedTable> given = new HashMap<>();

    /**
     * Starts to ask.
     *
     * @param candidates instances that may have the table
     */
    public PredecessorInquiry(Set<InstanceName> candidates) {
        open.addAll(candidates);
    }

    /**
     * Lists whom to ask still.
     *
     * @return names of instances
     */
    public Set<InstanceName> open() {
        return Set.copyOf(open);
    }

    /**
     * An instance has answered.
     *
     * @param custodian the instance
     * @param table the table that it gave away, or empty if it had none
     */
    public void answered(InstanceName custodian, Optional<SealedTable> table) {
        open.remove(custodian);
        if (table.isEmpty()) {
            empty.add(custodian);
            return;
        }
        given.put(custodian, table.get());
        table.get().custodians().stream()
                .filter(other -> !given.containsKey(other) && !empty.contains(other))
                .forEach(open::add);
    }

    /**
     * Returns the predecessor's table.
     *
     * @return the table that was sealed last, or empty if not every one of its custodians gave it
     */
    public Optional<SealedTable> predecessor() {
        return given.values().stream()
                .min(Comparator.comparingLong(SealedTable::sealedMillis))
                .filter(this::isGivenByAll);
    }

    private boolean isGivenByAll(SealedTable table) {
        return table.custodians().stream()
                .allMatch(custodian -> given.containsKey(custodian)
                        && given.get(custodian).incarnation().equals(table.incarnation()));
    }
}
