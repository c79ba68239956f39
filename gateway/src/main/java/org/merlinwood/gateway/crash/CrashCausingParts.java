package org.merlinwood.gateway.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * Finds the parts of prompts that crash each instance which begins a response to them, from what this entry sees and
 * what the others report, and says which requests must not be sent because of them.
 *
 * <p>Suspects of a crash are the requests that were sent to the instance and whose response had not begun. Parts are
 * given by their fingerprints, see {@link PartFingerprints}. Confined to the event loop; bounded: the oldest parts,
 * crashes and blocks are forgotten first.
 */
public final class CrashCausingParts {

    private static final int MAXIMUM_BEGUN_PARTS = 16_384;

    /** Bound of the crashes, and of the begun parts, in one report; further ones are left out. */
    private static final int MAXIMUM_REPORTED = 64;

    private final MillisClock clock;
    private final CrashListener listener;
    private final PendingCrashes pendingCrashes;
    private final CrashEvidence evidence = new CrashEvidence();
    private final BlockedParts blockedParts;
    private final List<UnsentCrash> unsentCrashes = new ArrayList<>();
    private final Set<Long> unsentBegunParts = new LinkedHashSet<>();
    private long lastBegunMillis = Long.MIN_VALUE;

    /** A crash that has not been reported, with its ages as they were at a monotonic time, in milliseconds. */
    private record UnsentCrash(CrashReport.Crash crash, long atMillis) {}

    /** Monotonic time at which the last response to a part began, in milliseconds. */
    private final Map<Long, Long> begunMillisByPart = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAXIMUM_BEGUN_PARTS;
        }
    };

    /**
     * Creates a search that knows nothing.
     *
     * @param clock source of the monotonic time
     * @param expiryFactor factor of the time after which blocks expire, from 1 to 2; should differ between entries, so
     *     that not all try a blocked part again at the same time
     * @param listener observes crashes and blocks
     */
    public CrashCausingParts(MillisClock clock, double expiryFactor, CrashListener listener) {
        this.clock = clock;
        this.listener = listener;
        this.pendingCrashes = new PendingCrashes(clock);
        this.blockedParts = new BlockedParts(clock, expiryFactor);
    }

    /**
     * Returns whether a request must not be sent to any instance.
     *
     * @param parts parts of the request
     * @return true if it has a blocked combination of parts
     */
    public boolean isBlocked(Collection<Long> parts) {
        confirmCrashes();
        return blockedParts.isBlocked(parts);
    }

    /**
     * Records that a request is sent to an instance that will begin its response. If a block of its parts has expired,
     * it is their trial, and others with these parts are blocked until its outcome is known.
     *
     * @param parts parts of the request, which are not blocked
     */
    public void recordSent(Collection<Long> parts) {
        blockedParts.beginTrial(parts);
    }

    /**
     * Records that an instance sent an event of a response, which shows that it has not crashed.
     *
     * @param instance the instance
     */
    public void recordResponding(UpstreamInstance instance) {
        if (pendingCrashes.recordResponding(instance.identifier())) {
            listener.onConnectionLost(instance.identifier());
        }
    }

    /**
     * Records that an instance sent the first event of a response, which clears the parts of the request.
     *
     * @param parts parts of the request
     */
    public void recordBegun(Collection<Long> parts) {
        long now = clock.monotonicMillis();
        lastBegunMillis = now;
        for (long part : parts) {
            if (evidence.suspects(part) || blockedParts.contains(part)) {
                unsentBegunParts.add(part);
            }
            clear(part, now);
        }
        blockExplained();
    }

    /**
     * Records that the connection on which a response was generated was lost.
     *
     * @param instance the instance
     * @param sentMillis monotonic time at which the request was sent to it, in milliseconds
     * @param suspectParts parts of the request if its response had not begun, otherwise empty
     */
    public void recordLoss(UpstreamInstance instance, long sentMillis, List<Long> suspectParts) {
        pendingCrashes.recordLoss(instance.identifier(), instance.startedUnixMillis(), sentMillis, suspectParts);
    }

    /**
     * Returns what the other entries do not know yet. Crashes and begun parts count as reported afterwards.
     *
     * @return the report; empty in the usual case
     */
    public CrashReport report() {
        confirmCrashes();
        long now = clock.monotonicMillis();
        List<CrashReport.BegunPart> begunParts = unsentBegunParts.stream()
                .limit(MAXIMUM_REPORTED)
                .filter(begunMillisByPart::containsKey)
                .map(part -> new CrashReport.BegunPart(part, now - begunMillisByPart.get(part)))
                .toList();
        List<CrashReport.Crash> crashes = unsentCrashes.stream()
                .map(unsent -> unsent.crash().after(now - unsent.atMillis()))
                .toList();
        CrashReport report = new CrashReport(crashes, begunParts, blockedParts.nextReport());
        unsentCrashes.clear();
        unsentBegunParts.clear();
        return report;
    }

    /**
     * Applies the report of another entry.
     *
     * @param peer address of the entry
     * @param report its report
     */
    public void onPeerReport(String peer, CrashReport report) {
        long now = clock.monotonicMillis();
        report.begunParts().forEach(begun -> clear(begun.part(), now - begun.ageMillis()));
        report.crashes().forEach(crash -> addCrash(crash, peer));
        report.blocks().forEach(block -> adoptBlock(block, now - block.lastCrashAgeMillis(), peer));
        blockExplained();
    }

    /**
     * A combination of parts that is blocked, or was until its block expired.
     *
     * @param parts the parts
     * @param lastCrashMillisAgo time since the last crash that it explains, in milliseconds
     * @param expiresInMillis time until it is tried again, in milliseconds; 0 or less if it may be
     * @param count how often it was blocked
     */
    public record Block(Set<Long> parts, long lastCrashMillisAgo, long expiresInMillis, int count) {}

    /**
     * Returns all combinations of parts that were blocked and not cleared since.
     *
     * @return the combinations, in no particular order
     */
    public List<Block> blocks() {
        return blockedParts.describe();
    }

    /**
     * Returns the number of combinations of parts that are blocked.
     *
     * @return number of combinations
     */
    public int blockedCount() {
        return blockedParts.activeCount();
    }

    private void confirmCrashes() {
        for (CrashReport.Crash crash : pendingCrashes.takeConfirmed()) {
            if (!crash.suspects().isEmpty() && unsentCrashes.size() < MAXIMUM_REPORTED) {
                unsentCrashes.add(new UnsentCrash(crash, clock.monotonicMillis()));
            }
            addCrash(crash, CrashListener.THIS_ENTRY);
        }
    }

    private void addCrash(CrashReport.Crash crash, String reporter) {
        long now = clock.monotonicMillis();
        long atMillis = now - crash.ageMillis();
        listener.onCrash(crash, reporter);
        List<Set<Long>> suspects = crash.suspects().stream()
                .map(parts -> withoutPartsBegunAfter(parts, atMillis))
                .filter(parts -> !parts.isEmpty())
                .toList();
        crash.suspects().stream()
                .flatMap(Set::stream)
                .filter(begunMillisByPart::containsKey)
                .forEach(unsentBegunParts::add);
        evidence.add(crash, atMillis, now - crash.suspectAgeMillis(), suspects);
        suspects.forEach(parts -> blockedParts.recordCrash(parts, atMillis));
        blockExplained();
    }

    private void blockExplained() {
        if (!evidence.isEmpty()) {
            evidence.explanations(begunMillisByPart::containsKey, lastBegunMillis)
                    .forEach(explanation ->
                            block(explanation.parts(), explanation.lastMillis(), 1, CrashListener.THIS_ENTRY));
        }
    }

    private void adoptBlock(CrashReport.Block block, long lastCrashMillis, String peer) {
        Set<Long> parts = withoutPartsBegunAfter(block.parts(), lastCrashMillis);
        if (!parts.isEmpty()) {
            block(parts, lastCrashMillis, block.count(), peer);
        }
    }

    private void block(Set<Long> parts, long lastCrashMillis, int count, String reporter) {
        if (blockedParts.block(parts, lastCrashMillis, count)) {
            listener.onBlocked(parts, reporter);
        }
    }

    private Set<Long> withoutPartsBegunAfter(Set<Long> parts, long atMillis) {
        return parts.stream().filter(part -> begunMillis(part) < atMillis).collect(Collectors.toSet());
    }

    private long begunMillis(long part) {
        return begunMillisByPart.getOrDefault(part, Long.MIN_VALUE);
    }

    private void clear(long part, long begunMillis) {
        long latestMillis = Math.max(begunMillis, begunMillis(part));
        begunMillisByPart.remove(part);
        begunMillisByPart.put(part, latestMillis);
        boolean blocked = blockedParts.contains(part);
        evidence.clear(part, begunMillis);
        blockedParts.clear(part, begunMillis);
        if (blocked && !blockedParts.contains(part)) {
            listener.onCleared(part);
        }
    }
}
