package org.merlinwood.gateway.crash;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.request.CallerRequest;
import org.merlinwood.gateway.workspace.Workspace;

/**
 * Records which requests, identified by their content, lost the instances that ran them, so that a request that crashes
 * any instance is not sent to one instance after another.
 *
 * <p>A request crashes the instances that begin to run it. So a loss in the middle of a response speaks little for the
 * request as the cause ({@link Suspicion#WEAK}), a complete response speaks against it, and an instance that goes on to
 * respond was not lost at all.
 *
 * <p>Confined to the event loop. Bounded: the oldest requests are evicted first, and losses expire.
 */
public final class CrashHistory {

    /** Number of distinct instances, lost on strong suspicion, from which a request is blocked. */
    static final int BLOCKING_COUNT_OF_STRONG_SUSPICION = 2;

    /** Number of distinct lost instances from which a request is blocked. */
    static final int BLOCKING_COUNT = 3;

    /** The same for a request to which an instance has recently responded completely. */
    static final int BLOCKING_COUNT_OF_SOUND_REQUEST = 5;

    /**
     * Time after the last loss of a request at which its losses expire, and after its last complete response at which
     * that no longer counts, in milliseconds.
     */
    static final long RETENTION_MILLIS = 60_000;

    /** Time after a loss within which no instance is back that has crashed, in milliseconds. */
    static final long RESTART_MILLIS = 500;

    private static final int MAXIMUM_REQUESTS = 4_096;

    private final MillisClock clock;
    private final List<LostRun> unsentLosses = new ArrayList<>();
    private final Map<Long, Losses> lossesByRequest = boundedMap();

    /** Monotonic time of the last complete response by request, in milliseconds. */
    private final Map<Long, Long> soundMillisByRequest = boundedMap();

    /** Monotonic time of the last loss of the instances that may yet turn out to be alive, in milliseconds. */
    private final Map<String, Long> unconfirmedMillisByInstance = boundedMap();

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
     * @return a hash of workspace, target and body; equal for requests in which these are equal
     */
    public static long fingerprint(CallerRequest request) {
        long workspace = request.workspace().map(Workspace::name).hashCode();
        long target = request.target().hashCode();
        return (workspace * 0x9E3779B97F4A7C15L + target) * 0x9E3779B97F4A7C15L + Arrays.hashCode(request.body());
    }

    /**
     * Records that an instance was lost while it ran a request for this entry, and queues the loss for the other
     * entries.
     *
     * @param run the request and the instance
     */
    public void recordLoss(LostRun run) {
        unsentLosses.add(run);
        recordPeerLoss(run);
    }

    /**
     * Records a loss that another entry reported.
     *
     * @param run the request and the instance
     */
    public void recordPeerLoss(LostRun run) {
        long now = clock.monotonicMillis();
        Losses known = lossesByRequest.get(run.fingerprint());
        if (known == null || now - known.lastMillis > RETENTION_MILLIS) {
            known = new Losses();
            lossesByRequest.put(run.fingerprint(), known);
        }
        known.byInstance.merge(run.instance(), new Loss(run.suspicion(), now), Loss::combine);
        known.lastMillis = now;
        unconfirmedMillisByInstance.remove(run.instance());
        unconfirmedMillisByInstance.put(run.instance(), now);
    }

    /**
     * Records that an instance has sent something. If it seemed to be lost a moment ago, only a connection was: no
     * request is suspected because of it.
     *
     * @param instance identifier of the instance
     * @return true if it had seemed to be lost
     */
    public boolean recordResponding(String instance) {
        Long lostMillis = unconfirmedMillisByInstance.get(instance);
        if (lostMillis == null || clock.monotonicMillis() - lostMillis < PendingCrashes.DELAYED_BYTES_MILLIS) {
            return false;
        }
        unconfirmedMillisByInstance.remove(instance);
        if (clock.monotonicMillis() - lostMillis > RESTART_MILLIS) {
            return false;
        }
        unsentLosses.removeIf(run -> run.instance().equals(instance));
        long firstWithdrawnMillis = clock.monotonicMillis() - RESTART_MILLIS;
        lossesByRequest
                .values()
                .forEach(losses -> losses.byInstance.computeIfPresent(
                        instance, (identifier, loss) -> loss.atMillis >= firstWithdrawnMillis ? null : loss));
        return true;
    }

    /**
     * Returns the losses that have not been sent to the other entries, and clears them.
     *
     * @return losses recorded by {@link #recordLoss} since the last call
     */
    public List<LostRun> drainUnsentLosses() {
        List<LostRun> drained = List.copyOf(unsentLosses);
        unsentLosses.clear();
        return drained;
    }

    /**
     * Records that a request received a complete response, which removes its losses.
     *
     * @param fingerprint fingerprint of the request
     */
    public void recordSound(long fingerprint) {
        lossesByRequest.remove(fingerprint);
        soundMillisByRequest.remove(fingerprint);
        soundMillisByRequest.put(fingerprint, clock.monotonicMillis());
    }

    /**
     * Returns whether a request has lost too many instances.
     *
     * @param fingerprint fingerprint of the request
     * @return true if the request must not be sent to any instance
     */
    public boolean isBlocked(long fingerprint) {
        Losses known = lossesByRequest.get(fingerprint);
        if (known == null || clock.monotonicMillis() - known.lastMillis > RETENTION_MILLIS) {
            return false;
        }
        if (isSound(fingerprint)) {
            return known.count() >= BLOCKING_COUNT_OF_SOUND_REQUEST;
        }
        return known.count() >= BLOCKING_COUNT || known.strongCount() >= BLOCKING_COUNT_OF_STRONG_SUSPICION;
    }

    private boolean isSound(long fingerprint) {
        Long soundMillis = soundMillisByRequest.get(fingerprint);
        return soundMillis != null && clock.monotonicMillis() - soundMillis <= RETENTION_MILLIS;
    }

    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAXIMUM_REQUESTS;
            }
        };
    }

    /** The loss of one instance; the last one if it was lost several times. */
    private record Loss(Suspicion suspicion, long atMillis) {

        private Loss combine(Loss later) {
            return new Loss(suspicion == Suspicion.STRONG ? suspicion : later.suspicion, later.atMillis);
        }
    }

    private static final class Losses {
        private final Map<String, Loss> byInstance = new HashMap<>();
        private long lastMillis;

        private int count() {
            return byInstance.size();
        }

        private long strongCount() {
            return byInstance.values().stream()
                    .filter(loss -> loss.suspicion == Suspicion.STRONG)
                    .count();
        }
    }
}
