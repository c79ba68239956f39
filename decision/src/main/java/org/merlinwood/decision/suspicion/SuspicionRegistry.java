package org.merlinwood.decision.suspicion;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;

/**
 * What is known against the fingerprints whose home this process is.
 *
 * <p>When an engine ends, all that ran on it are suspects, and may run again only on trial. One that is reported to
 * have ended an engine while alone, or a second engine in any company, is convicted: so no fingerprint is charged with
 * more than {@value #MAXIMUM_CRASHES} engines. Suspicion and conviction expire. At most {@value #MAXIMUM_ENTRIES}
 * fingerprints are remembered; the oldest is forgotten first. Not thread-safe: used by the control thread only.
 */
public final class SuspicionRegistry {

    /** Engines that one fingerprint may end. */
    public static final int MAXIMUM_CRASHES = 2;

    /** Fingerprints that are remembered at most. */
    public static final int MAXIMUM_ENTRIES = 10_000;

    private static final long ISOLATION_LEASE_MILLIS = 30_000;

    private final MillisClock clock;
    private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
    private long memoryMillis;

    /**
     * Creates an empty book.
     *
     * @param clock its monotonic time judges ages
     */
    public SuspicionRegistry(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Sets how long suspicion and conviction last.
     *
     * @param millis milliseconds
     */
    public void configure(long millis) {
        memoryMillis = millis;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Judges a request that wants to run. A suspect is left to one request at a time, with all the work that this
     * takes.
     *
     * @param fingerprint of the request
     * @param request the request, apart from resends of it
     * @return how it may run
     */
    public SuspicionDecision decide(Fingerprint fingerprint, RequestIdentifier request) {
        Entry entry = entries.get(fingerprint);
        long now = clock.monotonicMillis();
        if (entry == null || now - entry.sinceMillis >= memoryMillis) {
            entries.remove(fingerprint);
            return new SuspicionDecision.Free();
        }
        if (entry.convicted) {
            return new SuspicionDecision.Quarantined(entry.crashes, entry.sinceMillis + memoryMillis - now);
        }
        if (now < entry.leasedUntilMillis && !request.equals(entry.leasedTo)) {
            return new SuspicionDecision.Wait(entry.leasedUntilMillis - now);
        }
        entry.leasedTo = request;
        entry.leasedUntilMillis = now + ISOLATION_LEASE_MILLIS;
        return new SuspicionDecision.Isolate(entry.crashes);
    }

    /**
     * An engine ended while a request ran on it.
     *
     * @param fingerprint of the request
     * @param alone true if nothing else ran there
     * @return how it may run from now on
     */
    public SuspicionDecision recordCrash(Fingerprint fingerprint, boolean alone) {
        long now = clock.monotonicMillis();
        Entry entry = entries.remove(fingerprint);
        if (entry == null || now - entry.sinceMillis >= memoryMillis) {
            entry = new Entry();
        }
        entry.crashes++;
        entry.sinceMillis = now;
        entry.leasedUntilMillis = now;
        entry.convicted |= alone || entry.crashes >= MAXIMUM_CRASHES;
        entries.put(fingerprint, entry);
        forgetOldest();
        return entry.convicted
                ? new SuspicionDecision.Quarantined(entry.crashes, memoryMillis)
                : new SuspicionDecision.Isolate(entry.crashes);
    }

    /**
     * A suspect ran alone to its end, and its engine still runs: it was not the cause.
     *
     * @param fingerprint of the request
     */
    public void recordSurvival(Fingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && !entry.convicted) {
            entries.remove(fingerprint);
        }
    }

    /**
     * Returns how much is remembered, for the state dump.
     *
     * @return suspects and convicts
     */
    public SuspicionState state() {
        int convicted =
                (int) entries.values().stream().filter(entry -> entry.convicted).count();
        return new SuspicionState(entries.size() - convicted, convicted);
    }

    // ------------------------------------------------------------------ internals

    private void forgetOldest() {
        Iterator<Fingerprint> oldestFirst = entries.keySet().iterator();
        while (entries.size() > MAXIMUM_ENTRIES) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /** What is known against one fingerprint. */
    private static final class Entry {
        private int crashes;
        private boolean convicted;
        private long sinceMillis;
        private long leasedUntilMillis;
        private RequestIdentifier leasedTo;
    }
}
