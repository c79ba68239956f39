package org.merlinwood.gateway.allotment;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.EntryCountBound;

/**
 * How many entries share the allotments: those that report to this one, of those that may exist. Confined to the event
 * loop.
 *
 * <p>In calm the two are the same number, so nothing of the rate is left unused. When entries fall silent, each of them
 * keeps its equal part, since it may only be cut off. An entry tells in its reports how many it has seen itself, so one
 * that starts during a partition learns of the entries on the other side.
 */
final class EntryCounts {

    /** For how long an entry that has fallen silent keeps its part, in milliseconds. Longer than most partitions. */
    static final long MEMORY_MILLIS = 600_000;

    /**
     * Time after the first report of a peer from which on the numbers count, in milliseconds. When all entries start at
     * once, those that they know first tell them within it of all others.
     */
    private static final long SETTLING_MILLIS = 300;

    private final MillisClock clock;
    private final double separationFactor;
    private final long startedMillis;
    private final Map<String, Peer> peers = new HashMap<>();
    private long sumOfReportMillis;

    /** Highest number that a reachable peer has seen; 0 if none has said. */
    private int told;

    private Optional<Long> firstReportMillis = Optional.empty();
    private int addresses = 1;
    private boolean memberListReceived;

    /** Monotonic times at which peers fell silent that have not said that they leave, in milliseconds. */
    private final Map<String, Long> lostMillis = new HashMap<>();

    /** Monotonic times at which peers fell silent that have said that they leave, in milliseconds. */
    private final Map<String, Long> leftMillis = new HashMap<>();

    private record Peer(long reportedMillis, int entriesSeen, boolean leaving) {}

    /**
     * Parts of the rates.
     *
     * @param reachable part that this entry and the reachable ones share, from 0 to 1
     * @param absent part that the other entries may use, at least 0; the two may add up to more than 1, as far as the
     *     bound allows
     */
    record Shares(double reachable, double absent) {}

    /**
     * Creates the counts of an entry that is starting now.
     *
     * @param clock monotonic time
     * @param separationFactor factor on the rates while entries are unreachable, at least 1
     */
    EntryCounts(MillisClock clock, double separationFactor) {
        this.clock = clock;
        this.separationFactor = separationFactor;
        this.startedMillis = clock.monotonicMillis();
    }

    /** Returns the parts of the rates. */
    Shares shares() {
        int possible = possible();
        if (reachable() >= possible) {
            return new Shares(1, 0);
        }
        double share = separationFactor * reachable() / possible;
        return new Shares(Math.min(1, share), Math.max(0, separationFactor - share));
    }

    /** Sets the number of known addresses of entries, this one included, and whether a peer has sent its list. */
    void known(int knownAddresses, boolean listReceived) {
        addresses = knownAddresses;
        memberListReceived = listReceived;
    }

    /**
     * Records a report of a peer: the number of entries that it has seen, 0 if it doesn't say, and whether it leaves.
     */
    void onReport(String peer, int entriesSeen, boolean leaving) {
        long nowMillis = clock.monotonicMillis();
        firstReportMillis = firstReportMillis.or(() -> Optional.of(nowMillis));
        Peer previous = peers.put(peer, new Peer(nowMillis, Math.max(0, entriesSeen), leaving));
        sumOfReportMillis += nowMillis - (previous == null ? 0 : previous.reportedMillis());
        lostMillis.remove(peer);
        leftMillis.remove(peer);
        updateTold();
    }

    /** Records that a peer is silent and returns how long ago it reported, in milliseconds; 0 if it was not known. */
    long onLost(String peer) {
        Peer lost = peers.remove(peer);
        if (lost == null) {
            return 0;
        }
        long nowMillis = clock.monotonicMillis();
        (lost.leaving() ? leftMillis : lostMillis).put(peer, nowMillis);
        sumOfReportMillis -= lost.reportedMillis();
        updateTold();
        removeExpired();
        return nowMillis - lost.reportedMillis();
    }

    /** Returns whether a peer reports. */
    boolean isReachable(String peer) {
        return peers.containsKey(peer);
    }

    /** Returns the number of entries that report, this one included. */
    int reachable() {
        return peers.size() + 1;
    }

    /** Returns the number of entries that report, or have fallen silent and may only be cut off. */
    int seen() {
        removeExpired();
        return reachable() + lostMillis.size();
    }

    /** Returns the number of entries that may exist, this one included. */
    int possible() {
        int heard = Math.max(seen(), told);
        if (clock.monotonicMillis() - startedMillis >= MEMORY_MILLIS) {
            // Addresses that were never heard of since are those of stale seeds.
            return heard;
        }
        boolean alone = addresses <= 1 && peers.isEmpty();
        boolean settled = firstReportMillis
                .filter(millis -> clock.monotonicMillis() - millis >= SETTLING_MILLIS)
                .isPresent();
        boolean informed = alone || (settled && (memberListReceived || told > 0));
        return informed ? Math.max(heard, addresses - leftMillis.size()) : EntryCountBound.of(addresses, false);
    }

    /** Returns the mean time since the reports of the peers, in milliseconds; 0 without peers. */
    double meanAgeMillis() {
        return peers.isEmpty() ? 0 : clock.monotonicMillis() - sumOfReportMillis / (double) peers.size();
    }

    private void removeExpired() {
        long oldestMillis = clock.monotonicMillis() - MEMORY_MILLIS;
        lostMillis.values().removeIf(millis -> millis < oldestMillis);
        leftMillis.values().removeIf(millis -> millis < oldestMillis);
    }

    private void updateTold() {
        told = peers.values().stream()
                .mapToInt(peer -> peer.entriesSeen())
                .max()
                .orElse(0);
    }
}
