package org.merlinwood.decision.suspicion;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;

/**
 * Records engine crashes by request fingerprint, for the fingerprints whose home is this process.
 *
 * <p>When an engine crashes, all requests that ran on it become suspects and may run again only on trial, that is,
 * alone on an engine. A request that is reported to have run alone on a crashed engine, or on a second crashed engine
 * with any other requests, is quarantined, so that no fingerprint is counted for more than {@value #MAXIMUM_CRASHES}
 * crashes. Suspicion and quarantine expire. At most {@value #MAXIMUM_ENTRIES} fingerprints are kept; the oldest is
 * evicted first. Not thread-safe: used by the control thread only.
 */
public final class SuspicionRegistry {

    /** Number of engine crashes at which a fingerprint is quarantined. */
    public static final int MAXIMUM_CRASHES = 2;

    /** Maximum number of fingerprints kept. */
    public static final int MAXIMUM_ENTRIES = 10_000;

    private static final long ISOLATION_LEASE_MILLIS = 30_000;

    private final MillisClock clock;
    private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
    private long retentionMillis;

    /**
     * Creates an empty registry.
     *
     * @param clock its monotonic time determines expiry
     */
    public SuspicionRegistry(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Sets the time after which suspicion and quarantine expire. Also applies to existing entries.
     *
     * @param millis retention time, in milliseconds
     */
    public void configure(long millis) {
        retentionMillis = millis;
    }

    /**
     * Decides whether a request may run. A suspect fingerprint is leased to one request at a time, with all attempts of
     * that request.
     *
     * @param fingerprint of the request
     * @param request identifies the request, to tell its attempts from other requests with the same fingerprint
     * @return the decision
     */
    public SuspicionDecision decide(Fingerprint fingerprint, RequestIdentifier request) {
        Entry entry = entries.get(fingerprint);
        long now = clock.monotonicMillis();
        if (entry == null || now - entry.sinceMillis >= retentionMillis) {
            entries.remove(fingerprint);
            return new SuspicionDecision.Free();
        }
        if (entry.convicted) {
            return new SuspicionDecision.Quarantined(entry.crashes, entry.sinceMillis + retentionMillis - now);
        }
        if (now < entry.leasedUntilMillis && !request.equals(entry.leasedTo)) {
            return new SuspicionDecision.Wait(entry.leasedUntilMillis - now);
        }
        entry.leasedTo = request;
        entry.leasedUntilMillis = now + ISOLATION_LEASE_MILLIS;
        return new SuspicionDecision.Isolate(entry.crashes);
    }

    /**
     * Records that an engine crashed while a request ran on it.
     *
     * @param fingerprint of the request
     * @param alone true if no other request ran on the engine
     * @return the decision for further attempts
     */
    public SuspicionDecision recordCrash(Fingerprint fingerprint, boolean alone) {
        long now = clock.monotonicMillis();
        Entry entry = entries.remove(fingerprint);
        if (entry == null || now - entry.sinceMillis >= retentionMillis) {
            entry = new Entry();
        }
        entry.crashes++;
        entry.sinceMillis = now;
        entry.leasedUntilMillis = now;
        entry.convicted |= alone || entry.crashes >= MAXIMUM_CRASHES;
        entries.put(fingerprint, entry);
        evictOldest();
        return entry.convicted
                ? new SuspicionDecision.Quarantined(entry.crashes, retentionMillis)
                : new SuspicionDecision.Isolate(entry.crashes);
    }

    /**
     * Records that a suspect ran alone to completion without a crash, so it did not cause the earlier one. A
     * quarantined fingerprint stays quarantined.
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
     * Returns the number of entries, for the state dump.
     *
     * @return numbers of suspects and of quarantined fingerprints
     */
    public SuspicionState state() {
        int convicted =
                (int) entries.values().stream().filter(entry -> entry.convicted).count();
        return new SuspicionState(entries.size() - convicted, convicted);
    }

    private void evictOldest() {
        Iterator<Fingerprint> oldestFirst = entries.keySet().iterator();
        while (entries.size() > MAXIMUM_ENTRIES) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /** Crashes and lease of one fingerprint. */
    private static final class Entry {
        private int crashes;
        private boolean convicted;
        private long sinceMillis;
        private long leasedUntilMillis;
        private RequestIdentifier leasedTo;
    }
}
