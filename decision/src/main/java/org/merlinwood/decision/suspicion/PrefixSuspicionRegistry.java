package org.merlinwood.decision.suspicion;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.prefix.PrefixBlocks;

/**
 * Finds the prefix of prompts that crashes each engine which begins to decode it, from the prompts that were about to
 * begin when engines crashed. Keeps the prefixes whose home is this process.
 *
 * <p>A prefix is suspected by a crash until a request with it gets a token. It is refused if
 *
 * <ul>
 *   <li>at least {@value #MINIMUM_CRASHES} crashes suspect it, more than {@value #SAME_EVENT_MILLIS} ms apart, since
 *       engines also end together for other reasons;
 *   <li>these requests were not all the same, which {@link SuspicionRegistry} handles;
 *   <li>no longer prefix explains all these crashes, so that a prefix that all prompts share is not blamed for what
 *       some of them add to it;
 *   <li>no prefix of other prompts explains them as well, unless there were {@value #MAXIMUM_CRASHES}.
 * </ul>
 *
 * <p>Suspicion and refusal expire. At most {@value #MAXIMUM_ENTRIES} prefixes are kept; those with the oldest crash are
 * evicted first. Not thread-safe: used by the control thread only.
 */
public final class PrefixSuspicionRegistry {

    /** Smallest number of crashes at which a prefix is refused. */
    public static final int MINIMUM_CRASHES = 2;

    /** Number of crashes at which a prefix is refused although other prefixes are suspected by the same crashes. */
    public static final int MAXIMUM_CRASHES = 4;

    /** Crashes that are closer together count as one, in milliseconds. */
    public static final long SAME_EVENT_MILLIS = 400;

    /** Maximum number of prefixes of one prompt that are compared with those of others, from the shortest on. */
    public static final int MAXIMUM_PREFIXES = 16;

    /** Maximum number of prefixes kept. */
    public static final int MAXIMUM_ENTRIES = 10_000;

    private static final int MAXIMUM_RECENT_CRASHES = 200;

    private final MillisClock clock;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private long retentionMillis;
    private final Map<EngineCrash, Long> eventsOfCrashes = new LinkedHashMap<>();
    private long lastEvent;
    private long lastEventMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty registry.
     *
     * @param clock its monotonic time determines expiry
     */
    public PrefixSuspicionRegistry(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Sets the time after which suspicion and refusal expire. Also applies to existing entries.
     *
     * @param millis retention time, in milliseconds
     */
    public void configure(long millis) {
        retentionMillis = millis;
    }

    /**
     * Records that an engine crashed while it was about to send the first token of a response.
     *
     * @param crash the crash
     * @param prefixes prefixes of the prompt
     * @param request identifies the request by its content
     */
    public void recordCrash(EngineCrash crash, PrefixBlocks prefixes, Fingerprint request) {
        long now = clock.monotonicMillis();
        long event = eventOf(crash, now);
        for (int block = 0; block < prefixes.size(); block++) {
            long hash = prefixes.hash(block);
            Entry previous = entries.remove(hash);
            Entry entry = previous == null || isExpired(previous, now) ? new Entry() : previous;
            entry.events.add(event);
            entry.requests.add(request);
            entry.sinceMillis = now;
            if (block > 0) {
                entry.parent = Optional.of(prefixes.hash(block - 1));
            }
            entries.put(hash, entry);
        }
        evictOldest(entries, MAXIMUM_ENTRIES);
    }

    /**
     * Records that a request got its first token, so that none of its prefixes crashed the engine.
     *
     * @param prefixes prefixes of the prompt
     */
    public void recordFirstToken(PrefixBlocks prefixes) {
        prefixes.hashes().forEach(entries::remove);
    }

    /**
     * Decides whether a request may run.
     *
     * @param prefixes prefixes of its prompt
     * @return the decision
     */
    public PrefixDecision decide(PrefixBlocks prefixes) {
        long now = clock.monotonicMillis();
        PrefixDecision strictest = new PrefixDecision.Free();
        for (long hash : prefixes.hashes()) {
            Entry entry = entries.get(hash);
            if (entry != null && !isExpired(entry, now)) {
                strictest = PrefixDecision.stricter(strictest, decide(hash, entry, now));
            }
        }
        return strictest;
    }

    /**
     * Returns the number of prefixes that a crash suspects, for the state dump.
     *
     * @return number of prefixes, those that expired since included
     */
    public int size() {
        return entries.size();
    }

    private PrefixDecision decide(long hash, Entry entry, long now) {
        if (!isShared(entry) || isExplainedByOther(hash, entry, now)) {
            return new PrefixDecision.Watch();
        }
        return new PrefixDecision.Refuse(entry.events.size(), entry.sinceMillis + retentionMillis - now);
    }

    /** Tells whether the crashes of a prefix have in common more than one request that came again. */
    private static boolean isShared(Entry entry) {
        return entry.events.size() >= MINIMUM_CRASHES && entry.requests.size() > 1;
    }

    private boolean isExplainedByOther(long hash, Entry entry, long now) {
        Set<Long> related = prefixesOf(hash, entry);
        return entries.entrySet().stream()
                .filter(other -> !related.contains(other.getKey()))
                .filter(other -> isShared(other.getValue()) && !isExpired(other.getValue(), now))
                .filter(other -> other.getValue().events.containsAll(entry.events))
                .anyMatch(other -> entry.events.size() < MAXIMUM_CRASHES
                        || prefixesOf(other.getKey(), other.getValue()).contains(hash));
    }

    /** Returns a prefix and all shorter ones of the same prompts. */
    private Set<Long> prefixesOf(long hash, Entry entry) {
        Set<Long> found = new HashSet<>(List.of(hash));
        Entry current = entry;
        while (current != null && current.parent.isPresent() && found.add(current.parent.get())) {
            current = entries.get(current.parent.get());
        }
        return found;
    }

    private boolean isExpired(Entry entry, long now) {
        return now - entry.sinceMillis >= retentionMillis;
    }

    /** Returns the number of the event that a crash belongs to; crashes close together are one event. */
    private long eventOf(EngineCrash crash, long now) {
        Long known = eventsOfCrashes.get(crash);
        if (known != null) {
            return known;
        }
        if (now - lastEventMillis > SAME_EVENT_MILLIS) {
            lastEvent++;
            lastEventMillis = now;
        }
        eventsOfCrashes.put(crash, lastEvent);
        evictOldest(eventsOfCrashes, MAXIMUM_RECENT_CRASHES);
        return lastEvent;
    }

    private static <T> void evictOldest(Map<T, ?> map, int maximumSize) {
        Iterator<T> oldestFirst = map.keySet().iterator();
        while (map.size() > maximumSize) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /** Crashes of one prefix since a request with it last got a token. */
    private static final class Entry {
        private final Set<Long> events = new HashSet<>();
        private final Set<Fingerprint> requests = new HashSet<>();
        private Optional<Long> parent = Optional.empty();
        private long sinceMillis;
    }
}
