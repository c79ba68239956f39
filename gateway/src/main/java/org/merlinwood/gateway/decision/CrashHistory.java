package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.request.CallerRequest;

/**
 * Requests whose runs ended with a lost instance, by their content, so that one that crashes whatever runs it is not
 * sent again and again.
 *
 * <p>Used by the event loop alone. Bounded: the oldest entries go first, and entries end by age.
 */
public final class CrashHistory {

    /** Instances that one request may lose before it is refused. */
    static final int ALLOWED_LOSSES = 2;

    /** How long losses are remembered, in milliseconds. */
    static final long MEMORY_MILLIS = 60_000;

    private static final int MAXIMUM_REQUESTS = 4_096;

    private final MillisClock clock;
    private final List<EntryStatus.LostRun> untold = new ArrayList<>();
    private final Map<Long, Losses> losses = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Losses> eldest) {
            return size() > MAXIMUM_REQUESTS;
        }
    };

    /**
     * Creates an empty book.
     *
     * @param clock the time
     */
    public CrashHistory(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Names a request by its content.
     *
     * @param request the request
     * @return the same number for each request with the same path and body
     */
    public static long fingerprint(CallerRequest request) {
        return request.target().hashCode() * 0x9E3779B97F4A7C15L + Arrays.hashCode(request.body());
    }

    /**
     * Notes that a request's run ended with a lost connection.
     *
     * @param fingerprint the request
     * @param instance the instance that was lost
     */
    public void recordLoss(long fingerprint, String instance) {
        untold.add(new EntryStatus.LostRun(fingerprint, instance));
        recordPeerLoss(fingerprint, instance);
    }

    /**
     * Notes what another entry told of such a run.
     *
     * @param fingerprint the request
     * @param instance the instance that was lost
     */
    public void recordPeerLoss(long fingerprint, String instance) {
        Losses known = losses.get(fingerprint);
        if (known == null || clock.monotonicMillis() - known.lastMillis > MEMORY_MILLIS) {
            known = new Losses();
            losses.put(fingerprint, known);
        }
        known.instances.add(instance);
        known.lastMillis = clock.monotonicMillis();
    }

    /**
     * Returns the losses that other entries were not told of yet.
     *
     * @return the losses since the last call
     */
    public List<EntryStatus.LostRun> drainUnsentLosses() {
        List<EntryStatus.LostRun> news = List.copyOf(untold);
        untold.clear();
        return news;
    }

    /**
     * Notes that a request was answered whole.
     *
     * @param fingerprint the request
     */
    public void remove(long fingerprint) {
        losses.remove(fingerprint);
    }

    /**
     * Tells whether a request has lost too many instances.
     *
     * @param fingerprint the request
     * @return true if it is not to be sent any more
     */
    public boolean isBlocked(long fingerprint) {
        Losses known = losses.get(fingerprint);
        return known != null
                && known.instances.size() >= ALLOWED_LOSSES
                && clock.monotonicMillis() - known.lastMillis <= MEMORY_MILLIS;
    }

    private static final class Losses {
        private final Set<String> instances = new HashSet<>();
        private long lastMillis;
    }
}
