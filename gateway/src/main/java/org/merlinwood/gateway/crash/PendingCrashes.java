package org.merlinwood.gateway.crash;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;

/**
 * Distinguishes crashes of instances from lost connections: an instance that goes on to send on another connection has
 * not crashed. Confined to the event loop.
 */
final class PendingCrashes {

    /** Time for which a crash is not certain, in milliseconds: two events of a stream. */
    static final long CONFIRMATION_MILLIS = 150;

    /** Time after a loss in which bytes may arrive that were sent before it, in milliseconds. */
    static final long DELAYED_BYTES_MILLIS = 30;

    /** Upper bound of the suspects of one crash; further ones are not suspected. */
    static final int MAXIMUM_SUSPECTS = 16;

    private static final int MAXIMUM_PENDING = 1_024;

    private final MillisClock clock;
    private final Map<String, Pending> pendingByInstance = new LinkedHashMap<>();

    PendingCrashes(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Records that the connection of a request was lost.
     *
     * @param instance identifier of the instance
     * @param startedUnixMillis its start
     * @param sentMillis monotonic time at which the request was sent, in milliseconds
     * @param suspectParts parts of the request; empty if its response had begun
     */
    void recordLoss(String instance, long startedUnixMillis, long sentMillis, List<Long> suspectParts) {
        if (pendingByInstance.size() >= MAXIMUM_PENDING && !pendingByInstance.containsKey(instance)) {
            return;
        }
        Pending pending = pendingByInstance.computeIfAbsent(
                instance, ignored -> new Pending(startedUnixMillis, clock.monotonicMillis()));
        if (!suspectParts.isEmpty() && pending.suspects.size() < MAXIMUM_SUSPECTS) {
            pending.suspects.add(Set.copyOf(suspectParts));
            pending.lastSuspectMillis = Math.max(pending.lastSuspectMillis, sentMillis);
        }
    }

    /**
     * Records that an instance has sent something.
     *
     * @param instance identifier of the instance
     * @return true if it had been taken for crashed
     */
    boolean recordResponding(String instance) {
        Pending pending = pendingByInstance.get(instance);
        return pending != null
                && pending.ageMillis(clock) >= DELAYED_BYTES_MILLIS
                && pendingByInstance.remove(instance, pending);
    }

    /** Removes and returns the crashes that have become certain. */
    List<CrashReport.Crash> takeConfirmed() {
        List<CrashReport.Crash> confirmed = new ArrayList<>();
        Iterator<Map.Entry<String, Pending>> iterator =
                pendingByInstance.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, Pending> entry = iterator.next();
            Pending pending = entry.getValue();
            if (pending.ageMillis(clock) >= CONFIRMATION_MILLIS) {
                confirmed.add(pending.toCrash(entry.getKey(), clock));
                iterator.remove();
            }
        }
        return confirmed;
    }

    private static final class Pending {

        private final long startedUnixMillis;
        private final long atMillis;
        private final List<Set<Long>> suspects = new ArrayList<>();
        private long lastSuspectMillis = Long.MIN_VALUE;

        private Pending(long startedUnixMillis, long atMillis) {
            this.startedUnixMillis = startedUnixMillis;
            this.atMillis = atMillis;
        }

        private long ageMillis(MillisClock clock) {
            return clock.monotonicMillis() - atMillis;
        }

        private CrashReport.Crash toCrash(String instance, MillisClock clock) {
            long suspectAgeMillis = suspects.isEmpty() ? 0 : clock.monotonicMillis() - lastSuspectMillis;
            return new CrashReport.Crash(instance, startedUnixMillis, ageMillis(clock), suspectAgeMillis, suspects);
        }
    }
}
