package org.merlinwood.decision.idempotency;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.time.MillisClock;

/**
 * Sealed tables of other instances, kept until their successors take them.
 *
 * <p>A table is given away once: a second successor must not mistake it for that of its own predecessor. Bounded by
 * {@link #MAXIMUM_TABLES}, by the entries and stored bytes of the limits, and by the horizon. Not thread-safe: used by
 * the control thread only.
 */
public final class SealedTableStore {

    /** Tables that are kept at most. */
    public static final int MAXIMUM_TABLES = 64;

    private final MillisClock clock;
    private final Map<InstanceName, StoredTable> tables = new HashMap<>();
    private KeyTableLimits limits = new KeyTableLimits(0, 0, 0);

    /**
     * Creates an empty custody that takes nothing before it is configured.
     *
     * @param clock its monotonic time judges ages
     */
    public SealedTableStore(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Sets the bounds.
     *
     * @param next the bounds, over all tables
     */
    public void configure(KeyTableLimits next) {
        limits = next;
    }

    /**
     * Takes a table. It replaces an older one of the same home.
     *
     * @param table the table
     * @return false if it is over a bound and was not taken
     */
    public boolean store(SealedTable table) {
        forgetExpired();
        tables.remove(table.home());
        long entries = table.entries().size() + sum(kept -> kept.table.entries().size());
        long bytes = bytesOf(table) + sum(kept -> bytesOf(kept.table));
        if (tables.size() >= MAXIMUM_TABLES || entries > limits.entries() || bytes > limits.storedBytes()) {
            return false;
        }
        tables.put(table.home(), new StoredTable(table, clock.monotonicMillis()));
        return true;
    }

    /**
     * Gives a table away for good.
     *
     * @param home the instance that sealed it
     * @return the table, with its ages of now, or empty if there is none
     */
    public Optional<SealedTable> remove(InstanceName home) {
        forgetExpired();
        return Optional.ofNullable(tables.remove(home))
                .map(kept -> kept.table.agedBy(clock.monotonicMillis() - kept.sinceMillis));
    }

    /**
     * Counts the tables.
     *
     * @return how many are kept
     */
    public int size() {
        return tables.size();
    }

    // ------------------------------------------------------------------ internals

    private void forgetExpired() {
        long now = clock.monotonicMillis();
        tables.values().removeIf(kept -> now - kept.sinceMillis >= limits.horizonMillis());
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
