package org.merlinwood.decision.idempotency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;

/**
 * Records the idempotency keys of the requests that this incarnation has run, and of those in adopted tables.
 *
 * <p>The table holds at most {@link KeyTableLimits#entries()} keys and {@link KeyTableLimits#storedBytes()} bytes of
 * stored responses. A key is removed only when it is older than the retry horizon; while the table is full, new keys
 * are refused as not run. Stored responses are evicted oldest first. The keys of evicted responses stay in the table,
 * so that their requests never run again.
 *
 * <p>Beginning and completing a request takes time logarithmic in the number of keys. Not thread-safe: used by the
 * control thread only.
 */
public final class KeyTable {

    /** Maximum size of a stored response, in bytes. A larger response is evicted immediately. */
    public static final long MAXIMUM_ANSWER_BYTES = 1 << 20;

    private static final long IN_PROGRESS_RETRY_MILLIS = 500;
    private static final Comparator<Entry> OLDEST_FIRST =
            Comparator.<Entry>comparingLong(entry -> entry.sinceMillis).thenComparingLong(entry -> entry.sequence);

    private final MillisClock clock;
    private final Map<ScopedKey, Entry> entries = new LinkedHashMap<>();
    private final TreeSet<Entry> completedOldestFirst = new TreeSet<>(OLDEST_FIRST);
    private final TreeSet<Entry> storedOldestFirst = new TreeSet<>(OLDEST_FIRST);
    private KeyTableLimits limits = new KeyTableLimits(0, 0, 0);
    private long storedBytes;
    private long lastSequence;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates an empty table that refuses all keys until it is configured.
     *
     * @param clock its monotonic time determines the age of keys
     */
    public KeyTable(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Sets the limits and evicts stored responses that exceed them.
     *
     * @param next the limits
     */
    public void configure(KeyTableLimits next) {
        limits = next;
        evictResponses();
    }

    // ------------------------------------------------------------------ public API: requests

    /**
     * Looks up the key of a request.
     *
     * @param request the request
     * @return the decision for the request, or empty if the table doesn't contain the key
     */
    public Optional<KeyDecision> find(KeyedRequest request) {
        Entry entry = entries.get(request.key());
        if (entry == null || isExpired(entry)) {
            return Optional.empty();
        }
        if (!entry.fingerprint.equals(request.fingerprint())) {
            return Optional.of(new KeyDecision.Refuse(
                    Failure.of(ResultCode.KEY_REUSED, "the key was used before with a different request")));
        }
        return Optional.of(
                switch (entry.state) {
                    case RUNNING -> new KeyDecision.Join();
                    case RAN -> new KeyDecision.Replay(entry.response.orElseThrow());
                    case RAN_EVICTED -> new KeyDecision.Refuse(evictedFailure());
                    case UNKNOWN -> new KeyDecision.Refuse(outcomeUnknown());
                });
    }

    /**
     * Adds the key of a request that is about to run. The table must not contain the key.
     *
     * @param request the request
     * @return the failure if the table is full and the request must not run, or empty
     */
    public Optional<Failure> begin(KeyedRequest request) {
        removeExpired();
        if (entries.size() >= limits.entries()) {
            return Optional.of(Failure.retryable(
                    ResultCode.NO_CAPACITY,
                    "the idempotency key table is full",
                    Math.max(1, millisUntilOldestExpires())));
        }
        remove(request.key());
        entries.put(
                request.key(),
                newEntry(request.key(), request.fingerprint(), KeyState.RUNNING, clock.monotonicMillis()));
        return Optional.empty();
    }

    // ------------------------------------------------------------------ public API: completion

    /**
     * Records that a request ran to completion.
     *
     * @param key the key of the request; ignored if the table doesn't contain it
     * @param response the response to store
     */
    public void recordCompleted(ScopedKey key, StoredResponse response) {
        complete(key, KeyState.RAN).ifPresent(entry -> {
            entry.response = Optional.of(response);
            index(entry);
            if (response.bytes() > MAXIMUM_ANSWER_BYTES) {
                evict(entry);
            }
        });
        evictResponses();
    }

    /**
     * Records that it is unknown whether a request ran.
     *
     * @param key the key of the request; ignored if the table doesn't contain it
     */
    public void outcomeUnknown(ScopedKey key) {
        complete(key, KeyState.UNKNOWN).ifPresent(this::index);
    }

    /**
     * Records that a request never left this process. Its key can be used again.
     *
     * @param key the key of the request
     */
    public void recordNotRun(ScopedKey key) {
        remove(key);
    }

    /** Removes keys that are older than the retry horizon. To be called periodically. */
    public void removeExpired() {
        while (!completedOldestFirst.isEmpty() && isExpired(completedOldestFirst.first())) {
            remove(completedOldestFirst.first().key);
        }
    }

    // ------------------------------------------------------------------ public API: handover

    /**
     * Tells whether a request of any selected key is running.
     *
     * @param keys selects keys
     * @return true if at least one is running
     */
    public boolean anyRunning(Predicate<ScopedKey> keys) {
        return entries.entrySet().stream()
                .anyMatch(entry -> entry.getValue().state == KeyState.RUNNING && keys.test(entry.getKey()));
    }

    /**
     * Copies the entries of some keys for a handover. A request that is still running is copied as one that may have
     * run.
     *
     * @param keys selects keys
     * @return the entries that have not expired, oldest first apart from adopted ones
     */
    public List<KeyTableEntry> entries(Predicate<ScopedKey> keys) {
        long now = clock.monotonicMillis();
        List<KeyTableEntry> copies = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (keys.test(key) && !isExpired(entry)) {
                KeyState state = entry.state == KeyState.RUNNING ? KeyState.UNKNOWN : entry.state;
                copies.add(new KeyTableEntry(key, entry.fingerprint, state, now - entry.sinceMillis, entry.response));
            }
        });
        return copies;
    }

    /**
     * Adopts the entries of another table. Keys that this table already contains stay unchanged.
     *
     * @param handedOver the entries of the other table
     */
    public void adopt(List<KeyTableEntry> handedOver) {
        long now = clock.monotonicMillis();
        for (KeyTableEntry copy : handedOver) {
            Entry entry = newEntry(copy.key(), copy.fingerprint(), copy.state(), now - copy.ageMillis());
            entry.response = copy.response();
            if (entries.putIfAbsent(copy.key(), entry) == null) {
                index(entry);
            }
        }
        evictResponses();
    }

    // ------------------------------------------------------------------ public API: state

    /**
     * Returns the size and the limits of the table, for the state dump.
     *
     * @return a copy of the current state
     */
    public KeyTableState state() {
        int running = (int) entries.values().stream()
                .filter(entry -> entry.state == KeyState.RUNNING)
                .count();
        int unknown = (int) entries.values().stream()
                .filter(entry -> entry.state == KeyState.UNKNOWN)
                .count();
        return new KeyTableState(entries.size(), running, unknown, storedBytes, limits);
    }

    // ------------------------------------------------------------------ internals

    private void remove(ScopedKey key) {
        Entry entry = entries.remove(key);
        if (entry != null) {
            unindex(entry);
        }
    }

    private Optional<Entry> complete(ScopedKey key, KeyState state) {
        Entry entry = entries.remove(key);
        if (entry == null) {
            return Optional.empty();
        }
        unindex(entry);
        entry.response = Optional.empty();
        entry.state = state;
        entry.sinceMillis = clock.monotonicMillis();
        entries.put(key, entry);
        return Optional.of(entry);
    }

    private boolean isExpired(Entry entry) {
        return entry.state != KeyState.RUNNING && clock.monotonicMillis() - entry.sinceMillis >= limits.horizonMillis();
    }

    private long millisUntilOldestExpires() {
        long now = clock.monotonicMillis();
        return completedOldestFirst.isEmpty()
                ? IN_PROGRESS_RETRY_MILLIS
                : completedOldestFirst.first().sinceMillis + limits.horizonMillis() - now;
    }

    private void evictResponses() {
        while (storedBytes > limits.storedBytes() && !storedOldestFirst.isEmpty()) {
            evict(storedOldestFirst.first());
        }
    }

    private void evict(Entry entry) {
        storedOldestFirst.remove(entry);
        storedBytes -= entry.storedBytes();
        entry.response = Optional.empty();
        entry.state = KeyState.RAN_EVICTED;
    }

    private Entry newEntry(ScopedKey key, Fingerprint fingerprint, KeyState state, long sinceMillis) {
        return new Entry(key, ++lastSequence, fingerprint, state, sinceMillis);
    }

    /** Adds an entry to the sorted sets. To be called after its age and state have been set. */
    private void index(Entry entry) {
        if (entry.state != KeyState.RUNNING) {
            completedOldestFirst.add(entry);
        }
        if (entry.state == KeyState.RAN) {
            storedOldestFirst.add(entry);
            storedBytes += entry.storedBytes();
        }
    }

    /** Removes an entry from the sorted sets. To be called before its age or state changes. */
    private void unindex(Entry entry) {
        completedOldestFirst.remove(entry);
        if (storedOldestFirst.remove(entry)) {
            storedBytes -= entry.storedBytes();
        }
    }

    private static Failure evictedFailure() {
        return Failure.of(ResultCode.KEY_ANSWER_EVICTED, "the request ran, but its response is no longer stored");
    }

    private static Failure outcomeUnknown() {
        return Failure.of(ResultCode.OUTCOME_UNKNOWN, "an earlier request with this key may have run")
                .withExecutionState(ExecutionState.UNKNOWN);
    }

    /** The entry of one key. The map is sorted by {@code sinceMillis}, except for adopted entries. */
    private static final class Entry {

        private final ScopedKey key;
        private final long sequence;
        private final Fingerprint fingerprint;
        private KeyState state;
        private long sinceMillis;
        private Optional<StoredResponse> response = Optional.empty();

        private Entry(ScopedKey key, long sequence, Fingerprint fingerprint, KeyState state, long sinceMillis) {
            this.key = key;
            this.sequence = sequence;
            this.fingerprint = fingerprint;
            this.state = state;
            this.sinceMillis = sinceMillis;
        }

        private long storedBytes() {
            return response.map(StoredResponse::bytes).orElse(0L);
        }
    }
}
