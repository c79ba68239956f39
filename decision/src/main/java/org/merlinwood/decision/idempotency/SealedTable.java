package org.merlinwood.decision.idempotency;

import java.util.List;
import java.util.Set;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;

/**
 * The complete key table of a process that has ended, or the part of a home's table whose keys have moved. Immutable.
 *
 * @param home the instance that ran the requests
 * @param incarnation the process that ran them
 * @param entries the entries of its keys
 * @param completeMillis how far back the table is complete, in milliseconds
 * @param sealedMillis milliseconds since the table was sealed
 * @param holders the instances that the table was sent to
 */
public record SealedTable(
        InstanceName home,
        Incarnation incarnation,
        List<KeyTableEntry> entries,
        long completeMillis,
        long sealedMillis,
        Set<InstanceName> holders) {

    /** Makes defensive copies of the collections. */
    public SealedTable {
        entries = List.copyOf(entries);
        holders = Set.copyOf(holders);
    }

    /**
     * Returns a copy with all ages increased.
     *
     * @param millis elapsed time, in milliseconds
     * @return the aged copy
     */
    public SealedTable agedBy(long millis) {
        List<KeyTableEntry> aged = entries.stream()
                .map(entry -> new KeyTableEntry(
                        entry.key(), entry.fingerprint(), entry.state(), entry.ageMillis() + millis, entry.response()))
                .toList();
        return new SealedTable(home, incarnation, aged, completeMillis + millis, sealedMillis + millis, holders);
    }
}
