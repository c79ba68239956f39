package org.merlinwood.decision.idempotency;

import java.util.List;
import java.util.Set;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;

/**
 * The complete table of a process that has ended, or the part of a home's table whose keys moved. Immutable.
 *
 * @param home the instance that ran the calls
 * @param incarnation the process that ran them
 * @param entries its keys
 * @param completeMillis how far back the table is complete, in milliseconds
 * @param sealedMillis milliseconds since it was sealed
 * @param holders the instances that it was sent to
 */
public record SealedTable(
        InstanceName home,
        Incarnation incarnation,
        List<KeyTableEntry> entries,
        long completeMillis,
        long sealedMillis,
        Set<InstanceName> holders) {

    /** Copies the collections. */
    public SealedTable {
        entries = List.copyOf(entries);
        holders = Set.copyOf(holders);
    }

    /**
     * Returns this table some time later.
     *
     * @param millis milliseconds that have passed
     * @return a copy whose ages are higher
     */
    public SealedTable agedBy(long millis) {
        List<KeyTableEntry> aged = entries.stream()
                .map(entry -> new KeyTableEntry(
                        entry.key(), entry.fingerprint(), entry.state(), entry.ageMillis() + millis, entry.response()))
                .toList();
        return new SealedTable(home, incarnation, aged, completeMillis + millis, sealedMillis + millis, holders);
    }
}
