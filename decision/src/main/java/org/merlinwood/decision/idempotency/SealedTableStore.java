package org.merlinwood.decision.idempotency;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.time.MillisClock;

/**
 * Stores sealed tables of other instances until their successors fetch them.
 *
 * <p>A table is handed out only once, since a second successor must not mistake it for the table of its own
 * predecessor. The store is bounded by {@link #MAXIMUM_TABLES}, by the entries and stored bytes of its limits, and by
 * the retry horizon. Not thread-safe: used by the control thread only.
 */
public final class SealedTableStore {

    /** Maximum number of stored tables. */
    public static final int MAXIMUM_TABLES = 64;

    private final MillisClock clock;
    private final Map<InstanceName, StoredTable> tables = new HashMap<>();
    private KeyTableLimits limits = new KeyTableLimits(0, 0, 0);

    /**
     * Creates an empty store. Until it is configured, it stores no table that has entries.
     *
     * @param clock its monotonic time determines the age of tables
     */
    public SealedTableStore(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Sets the limits.
     *
     * @param next the limits for all tables together
     */
    public void configure(KeyTableLimits next) {
        limits = next;
    }

    /**
     * Stores a table. The stored table of the same home, if any, is removed first.
     *
     * @param table the table
     * @return false if it would exceed a limit and was not stored
     */
    public boolean store(SealedTable table) {
        removeExpired();
        tables.remove(table.home());
        long entries =
                table.entries().size() + sum(stored -> stored.table.entries().size());
        long bytes = bytesOf(table) + sum(stored -> bytesOf(stored.table));
        if (tables.size() >= MAXIMUM_TABLES || entries > limits.entries() || bytes > limits.storedBytes()) {
            return false;
        }
        tables.put(table.home(), new StoredTable(table, clock.monotonicMillis()));
        return true;
    }

    /**
     * Removes and returns the table of an instance.
     *
     * @param home the instance that sealed it
     * @return the table with its current ages, or empty if there is none
     */
    public Optional<SealedTable> remove(InstanceName home) {
        removeExpired();
        return Optional.ofNullable(tables.remove(home))
                .map(stored -> stored.table.agedBy(clock.monotonicMillis() - stored.sinceMillis));
    }

    /**
     * Returns the number of stored tables.
     *
     * @return the number of tables
     */
    public int size() {
        return tables.size();
    }

    private void removeExpired() {
        long now = clock.monotonicMillis();
        tables.values().removeIf(stored -> now - stored.sinceMillis >= limits.horizonMillis());
    }

    private long sum(ToLongFunction<StoredTable> size) {
        return tables.values().stream().mapToLong(size).sum();
    }

    private static long bytesOf(SealedTable table) {
        return table.entries().stream()
                .mapToLong(entry -> entry.response().map(StoredResponse::bytes).orElse(0L))
                .sum();
    }

    private record StoredTable(SealedTable table, long sinceMillis) {}
}
