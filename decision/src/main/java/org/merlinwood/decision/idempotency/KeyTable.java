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
 * What ran under which key, within one incarnation and what was handed over to it.
 *
 * <p>Bounds: at most {@link KeyTableLimits#entries()} keys, and {@link KeyTableLimits#storedBytes()} of stored answers.
 * Eviction: a key is forgotten only once it is older than the horizon; when the table is full, new keys are refused as
 * not run. Stored answers are evicted oldest first, and their keys stay, so that they never run again. Beginning and
 * settling a call takes time by the logarithm of the number of keys. Not thread-safe: used by the control thread only.
 */
public final class KeyTable {

    /** Bytes of one answer that is stored at most; a larger one counts as evicted at once. */
    public static final long MAXIMUM_ANSWER_BYTES = 1 << 20;

    private static final long IN_PROGRESS_RETRY_MILLIS = 500;
    private static final Comparator<Entry> OLDEST_FIRST =
            Comparator.<Entry>comparingLong(entry -> entry.sinceMillis).thenComparingLong(entry -> entry.sequence);

    private final MillisClock clock;
    private final Map<ScopedKey, Entry> entries = new LinkedHashMap<>();
    private final TreeSet<Entry> settledOldestFirst = new TreeSet<>(OLDEST_FIRST);
    private final TreeSet<Entry> answeredOldestFirst = new TreeSet<>(OLDEST_FIRST);
    private KeyTableLimits limits = new KeyTableLimits(0, 0, 0);
    private long storedBytes;
    private long lastSequence;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates an empty table that takes no keys before it is configured.
     *
     * @param clock its monotonic time judges ages
     */
    public KeyTable(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Sets the bounds.
     *
     * @param next the bounds
     */
    public void configure(KeyTableLimits next) {
        limits = next;
        evictAnswers();
    }

    // ------------------------------------------------------------------ public API: judging

    /**
     * Tells what is known about a key.
     *
     * @param call the call that carries it
     * @return what becomes of the call, or empty if the table doesn't know the key
     */
    public Optional<KeyDecision> find(KeyedRequest call) {
        Entry entry = entries.get(call.key());
        if (entry == null || isExpired(entry)) {
            return Optional.empty();
        }
        if (!entry.fingerprint.equals(call.fingerprint())) {
            return Optional.of(new KeyDecision.Refuse(
                    Failure.of(ResultCode.KEY_REUSED, "the key was used before with another request")));
        }
        return Optional.of(
                switch (entry.state) {
                    case RUNNING -> new KeyDecision.Join();
                    case RAN -> new KeyDecision.Replay(entry.answer.orElseThrow());
                    case RAN_EVICTED -> new KeyDecision.Refuse(evicted());
                    case UNKNOWN -> new KeyDecision.Refuse(outcomeUnknown());
                });
    }

    /**
     * Takes a key that the table doesn't know: from now on its call counts as one that may run.
     *
     * @param call the call
     * @return why it may not run, or empty
     */
    public Optional<Failure> begin(KeyedRequest call) {
        removeExpired();
        if (entries.size() >= limits.entries()) {
            return Optional.of(Failure.retryable(
                    ResultCode.NO_CAPACITY, "the table of keys is full", Math.max(1, oldestLeavesInMillis())));
        }
        forget(call.key());
        entries.put(call.key(), entry(call.key(), call.fingerprint(), KeyState.RUNNING, clock.monotonicMillis()));
        return Optional.empty();
    }

    // ------------------------------------------------------------------ public API: settling

    /**
     * The call ran to its end.
     *
     * @param key its key
     * @param answer its answer
     */
    public void recordCompleted(ScopedKey key, StoredResponse answer) {
        settle(key, KeyState.RAN).ifPresent(entry -> {
            entry.answer = Optional.of(answer);
            index(entry);
            if (answer.bytes() > MAXIMUM_ANSWER_BYTES) {
                evict(entry);
            }
        });
        evictAnswers();
    }

    /**
     * The call may have run.
     *
     * @param key its key
     */
    public void outcomeUnknown(ScopedKey key) {
        settle(key, KeyState.UNKNOWN).ifPresent(this::index);
    }

    /**
     * The call never left this process: the key may be used again.
     *
     * @param key its key
     */
    public void recordNotRun(ScopedKey key) {
        forget(key);
    }

    /** Forgets keys older than the horizon. To be called now and then. */
    public void removeExpired() {
        while (!settledOldestFirst.isEmpty() && isExpired(settledOldestFirst.first())) {
            forget(settledOldestFirst.first().key);
        }
    }

    // ------------------------------------------------------------------ public API: handover

    /**
     * Tells whether a call of some keys is open.
     *
     * @param keys chooses keys
     * @return true if so
     */
    public boolean anyRunning(Predicate<ScopedKey> keys) {
        return entries.entrySet().stream()
                .anyMatch(entry -> entry.getValue().state == KeyState.RUNNING && keys.test(entry.getKey()));
    }

    /**
     * Copies what is known about some keys. A call that is still open is handed over as one that may have run.
     *
     * @param keys chooses keys
     * @return the entries, oldest first
     */
    public List<KeyTableEntry> entries(Predicate<ScopedKey> keys) {
        long now = clock.monotonicMillis();
        List<KeyTableEntry> copies = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (keys.test(key) && !isExpired(entry)) {
                KeyState state = entry.state == KeyState.RUNNING ? KeyState.UNKNOWN : entry.state;
                copies.add(new KeyTableEntry(key, entry.fingerprint, state, now - entry.sinceMillis, entry.answer));
            }
        });
        return copies;
    }

    /**
     * Takes over what another table knew. What this table knows itself stays.
     *
     * @param handedOver entries of the other table
     */
    public void adopt(List<KeyTableEntry> handedOver) {
        long now = clock.monotonicMillis();
        for (KeyTableEntry copy : handedOver) {
            Entry entry = entry(copy.key(), copy.fingerprint(), copy.state(), now - copy.ageMillis());
            entry.answer = copy.response();
            if (entries.putIfAbsent(copy.key(), entry) == null) {
                index(entry);
            }
        }
        evictAnswers();
    }

    // ------------------------------------------------------------------ public API: state

    /**
     * Returns the size of the table.
     *
     * @return a copy
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

    private void forget(ScopedKey key) {
        Entry entry = entries.remove(key);
        if (entry != null) {
            unindex(entry);
        }
    }

    private Optional<Entry> settle(ScopedKey key, KeyState state) {
        Entry entry = entries.remove(key);
        if (entry == null) {
            return Optional.empty();
        }
        unindex(entry);
        entry.answer = Optional.empty();
        entry.state = state;
        entry.sinceMillis = clock.monotonicMillis();
        entries.put(key, entry);
        return Optional.of(entry);
    }

    private boolean isExpired(Entry entry) {
        return entry.state != KeyState.RUNNING && clock.monotonicMillis() - entry.sinceMillis >= limits.horizonMillis();
    }

    private long oldestLeavesInMillis() {
        long now = clock.monotonicMillis();
        return settledOldestFirst.isEmpty()
                ? IN_PROGRESS_RETRY_MILLIS
                : settledOldestFirst.first().sinceMillis + limits.horizonMillis() - now;
    }

    private void evictAnswers() {
        while (storedBytes > limits.storedBytes() && !answeredOldestFirst.isEmpty()) {
            evict(answeredOldestFirst.first());
        }
    }

    private void evict(Entry entry) {
        answeredOldestFirst.remove(entry);
        storedBytes -= entry.storedBytes();
        entry.answer = Optional.empty();
        entry.state = KeyState.RAN_EVICTED;
    }

    private Entry entry(ScopedKey key, Fingerprint fingerprint, KeyState state, long sinceMillis) {
        return new Entry(key, ++lastSequence, fingerprint, state, sinceMillis);
    }

    /** To be called whenever age and state of a settled entry are set. */
    private void index(Entry entry) {
        if (entry.state != KeyState.RUNNING) {
            settledOldestFirst.add(entry);
        }
        if (entry.state == KeyState.RAN) {
            answeredOldestFirst.add(entry);
            storedBytes += entry.storedBytes();
        }
    }

    /** To be called before age or state of an entry change. */
    private void unindex(Entry entry) {
        settledOldestFirst.remove(entry);
        if (answeredOldestFirst.remove(entry)) {
            storedBytes -= entry.storedBytes();
        }
    }

    private static Failure evicted() {
        return Failure.of(ResultCode.KEY_ANSWER_EVICTED, "the call ran, but its answer is not stored any more");
    }

    private static Failure outcomeUnknown() {
        return Failure.of(ResultCode.OUTCOME_UNKNOWN, "an earlier call with this key may have run")
                .withExecutionState(ExecutionState.UNKNOWN);
    }

    /** One key; the map is ordered by {@code sinceMillis} but for what was handed over. */
    private static final class Entry {

        private final ScopedKey key;
        private final long sequence;
        private final Fingerprint fingerprint;
        private KeyState state;
        private long sinceMillis;
        private Optional<StoredResponse> answer = Optional.empty();

        private Entry(ScopedKey key, long sequence, Fingerprint fingerprint, KeyState state, long sinceMillis) {
            this.key = key;
            this.sequence = sequence;
            this.fingerprint = fingerprint;
            this.state = state;
            this.sinceMillis = sinceMillis;
        }

        private long storedBytes() {
            return answer.map(StoredResponse::bytes).orElse(0L);
        }
    }
}
