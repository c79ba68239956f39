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
 * Records which requests, identified by their content, lost the instance that ran them, so that a request that crashes
 * any instance is not sent to one instance after another.
 *
 * <p>Confined to the event loop. Bounded: the oldest requests are evicted first, and losses expire.
 */
public final class CrashHistory {

    /** Number of distinct lost instances from which a request is blocked. */
    static final int BLOCKING_LOSS_COUNT = 2;

    /** Time after the last loss of a request at which its losses expire, in milliseconds. */
    static final long RETENTION_MILLIS = 60_000;

    private static final int MAXIMUM_REQUESTS = 4_096;

    private final MillisClock clock;
    private final List<EntryStatus.LostRun> unsentLosses = new ArrayList<>();
    private final Map<Long, Losses> losses = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Losses> eldest) {
            return size() > MAXIMUM_REQUESTS;
        }
    };

    /**
     * Creates an empty history.
     *
     * @param clock source of the monotonic time
     */
    public CrashHistory(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Computes the fingerprint that identifies a request by its content.
     *
     * @param request the request
     * @return a hash of target and body; equal for requests with the same target and body
     */
    public static long fingerprint(CallerRequest request) {
        return request.target().hashCode() * 0x9E3779B97F4A7C15L + Arrays.hashCode(request.body());
    }

    /**
     * Records that an instance was lost while it ran a request for this entry, and queues the loss for the other
     * entries.
     *
     * @param fingerprint fingerprint of the request
     * @param instance identifier of the lost instance
     */
    public void recordLoss(long fingerprint, String instance) {
        unsentLosses.add(new EntryStatus.LostRun(fingerprint, instance));
        recordPeerLoss(fingerprint, instance);
    }

    /**
     * Records a loss that another entry reported.
     *
     * @param fingerprint fingerprint of the request
     * @param instance identifier of the lost instance
     */
    public void recordPeerLoss(long fingerprint, String instance) {
        Losses known = losses.get(fingerprint);
        if (known == null || clock.monotonicMillis() - known.lastMillis > RETENTION_MILLIS) {
            known = new Losses();
            losses.put(fingerprint, known);
        }
        known.instances.add(instance);
        known.lastMillis = clock.monotonicMillis();
    }

    /**
     * Returns the losses that have not been sent to the other entries, and clears them.
     *
     * @return losses recorded by {@link #recordLoss} since the last call
     */
    public List<EntryStatus.LostRun> drainUnsentLosses() {
        List<EntryStatus.LostRun> drained = List.copyOf(unsentLosses);
        unsentLosses.clear();
        return drained;
    }

    /**
     * Removes the losses of a request, after it received a complete response.
     *
     * @param fingerprint fingerprint of the request
     */
    public void remove(long fingerprint) {
        losses.remove(fingerprint);
    }

    /**
     * Returns whether a request has lost too many instances.
     *
     * @param fingerprint fingerprint of the request
     * @return true if the request must not be sent to any instance
     */
    public boolean isBlocked(long fingerprint) {
        Losses known = losses.get(fingerprint);
        return known != null
                && known.instances.size() >= BLOCKING_LOSS_COUNT
                && clock.monotonicMillis() - known.lastMillis <= RETENTION_MILLIS;
    }

    private static final class Losses {
        private final Set<String> instances = new HashSet<>();
        private long lastMillis;
    }
}
