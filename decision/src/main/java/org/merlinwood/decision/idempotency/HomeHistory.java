package org.merlinwood.decision.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.time.MillisClock;

/**
 * Records the homes that the keys of one service had under the inventory revisions of the retry horizon, and which of
 * these homes have handed over their keys.
 *
 * <p>A request with a key may run at the current home only if every earlier home of the key is sealed: it has activated
 * a revision under which it refuses the key, and has reported what it ran. A skipped revision may have named any
 * instance as home, so the history is incomplete until a peer reports that revision or the horizon has passed.
 *
 * <p>Not thread-safe: used by the control thread only.
 */
public final class HomeHistory {

    /** Maximum number of spans; the revisions of a span that is dropped count as skipped. */
    public static final int MAXIMUM_SPANS = 64;

    /** How long another process may keep using the previous inventory after a change. */
    private static final long PROPAGATION_MILLIS = 10_000;

    private final InstanceName self;
    private final MillisClock clock;
    private final NavigableMap<Long, Span> spans = new TreeMap<>();
    private final NavigableMap<Long, Gap> gaps = new TreeMap<>();
    private final Map<InstanceName, Seal> seals = new HashMap<>();
    private final Set<InstanceName> respondedPeers = new HashSet<>();
    private Set<InstanceName> retired = Set.of();
    private Set<InstanceName> listed = Set.of();
    private final long startedAtMillis;
    private long coveredMillis;
    private long horizonMillis;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates an empty history.
     *
     * @param self this instance
     * @param clock its monotonic time is compared with the retry horizon
     */
    public HomeHistory(InstanceName self, MillisClock clock) {
        this.self = self;
        this.clock = clock;
        this.startedAtMillis = clock.monotonicMillis();
    }

    // ------------------------------------------------------------------ public API: updates

    /**
     * Records an inventory that became active in this process.
     *
     * @param revision its revision; the spans change only if it is higher than all earlier ones
     * @param homes instances of the service that are not retired
     * @param retiredNames instances that operators have declared permanently removed
     * @param listedNames all instances of the inventory
     * @param horizon the retry horizon, in milliseconds
     */
    public void applyInventory(
            long revision,
            Set<InstanceName> homes,
            Set<InstanceName> retiredNames,
            Set<InstanceName> listedNames,
            long horizon) {
        retired = Set.copyOf(retiredNames);
        listed = Set.copyOf(listedNames);
        horizonMillis = horizon;
        long now = clock.monotonicMillis();
        if (spans.isEmpty()) {
            spans.put(revision, new Span(revision, revision, Set.copyOf(homes), Span.ACTIVE));
            return;
        }
        Span last = spans.lastEntry().getValue();
        if (revision <= last.to) {
            return;
        }
        if (revision > last.to + 1) {
            gaps.put(last.to + 1, new Gap(last.to + 1, revision - 1, now));
        }
        if (last.homes.equals(homes) && revision == last.to + 1) {
            spans.put(last.from, new Span(last.from, revision, last.homes, Span.ACTIVE));
        } else {
            spans.put(last.from, new Span(last.from, last.to, last.homes, now));
            spans.put(revision, new Span(revision, revision, Set.copyOf(homes), Span.ACTIVE));
        }
        prune(now);
    }

    /**
     * Adds the homes that a peer reported.
     *
     * @param peer the peer
     * @param peerSpans the spans of the peer
     * @param peerCoveredMillis how far back the peer knows every revision, in milliseconds
     */
    public void addPeerSpans(InstanceName peer, List<HomeSpan> peerSpans, long peerCoveredMillis) {
        respondedPeers.add(peer);
        coveredMillis = Math.max(coveredMillis, peerCoveredMillis);
        if (spans.isEmpty()) {
            return;
        }
        long current = spans.lastEntry().getValue().from;
        long now = clock.monotonicMillis();
        for (HomeSpan span : peerSpans) {
            long to = Math.min(span.toRevision(), current - 1);
            if (span.fromRevision() <= to) {
                spans.merge(
                        span.fromRevision(),
                        new Span(span.fromRevision(), to, span.homes(), now - span.endedAgeMillis()),
                        Span::wider);
                fillGaps(span.fromRevision(), to);
            }
        }
        prune(now);
    }

    /**
     * Records that a former home has handed over all requests that it ran for keys which have moved away.
     *
     * @param home the former home
     * @param revision its active revision, from which on it refuses those keys
     * @param completeMillis how far back it knows which requests it ran, in milliseconds
     */
    public void recordHandover(InstanceName home, long revision, long completeMillis) {
        seals.put(home, new Seal(revision, clock.monotonicMillis() - completeMillis));
    }

    // ------------------------------------------------------------------ public API: queries

    /**
     * Tells whether all revisions within the retry horizon are known here.
     *
     * @return false if a key may have had a home that this process doesn't know
     */
    public boolean isComplete() {
        long now = clock.monotonicMillis();
        return isStartCovered(now) && gaps.values().stream().allMatch(gap -> now - gap.sinceMillis >= horizonMillis);
    }

    /**
     * Finds an earlier home of a key whose handover is pending.
     *
     * @param key a key whose current home is this instance
     * @return such a home, or empty if no handover is pending
     */
    public Optional<InstanceName> unsealedHome(IdempotencyKey key) {
        boolean uninterrupted = true;
        long sinceRevision = spans.isEmpty() ? 0 : spans.lastKey();
        for (Span span : spans.descendingMap().values()) {
            Optional<InstanceName> home = KeyHome.among(key, span.homes);
            if (home.isEmpty() || home.get().equals(self)) {
                sinceRevision = uninterrupted ? span.from : sinceRevision;
                continue;
            }
            uninterrupted = false;
            if (isHandoverPending(home.get(), span, sinceRevision)) {
                return home;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the time since which all former homes of a key know which requests they ran.
     *
     * @param key a key whose current home is this instance
     * @return monotonic time in milliseconds; {@link Long#MIN_VALUE} if no other instance has handed over as its home
     */
    public long completeSinceMillis(IdempotencyKey key) {
        return spans.values().stream()
                .flatMap(span -> KeyHome.among(key, span.homes).stream())
                .filter(home -> !home.equals(self))
                .map(seals::get)
                .filter(Objects::nonNull)
                .mapToLong(Seal::completeSinceMillis)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Returns the time since which this instance is the home of a key.
     *
     * @param key a key whose current home is this instance
     * @return lower bound of the monotonic time, in milliseconds; {@link Long#MIN_VALUE} if this instance was the home
     *     before, or if no other home is known
     */
    public long homeSinceMillis(IdempotencyKey key) {
        long sinceMillis = Long.MIN_VALUE;
        boolean uninterrupted = true;
        for (Span span : spans.descendingMap().values()) {
            boolean isHome = KeyHome.among(key, span.homes).filter(self::equals).isPresent();
            if (isHome && !uninterrupted) {
                return Long.MIN_VALUE;
            }
            if (!isHome && uninterrupted) {
                uninterrupted = false;
                sinceMillis = span.endedAtMillis - PROPAGATION_MILLIS;
            }
        }
        return sinceMillis;
    }

    /**
     * Returns how far back this history is complete, as reported to peers.
     *
     * @return time since the start of this process, in milliseconds; 0 while the history is incomplete
     */
    public long coveredMillis() {
        return isComplete() ? clock.monotonicMillis() - startedAtMillis : 0;
    }

    /**
     * Returns the instances to query: those whose handover is pending for any key, and, while this history is
     * incomplete, those that may know the missing revisions.
     *
     * @return names of instances of the active inventory, without this instance
     */
    public Set<InstanceName> instancesToQuery() {
        if (spans.isEmpty()) {
            return Set.of();
        }
        Span current = spans.lastEntry().getValue();
        Set<InstanceName> queried = new HashSet<>();
        for (Span span : spans.headMap(current.from).values()) {
            Set<InstanceName> formerHomes = new HashSet<>(span.homes);
            if (span.homes.contains(self)) {
                formerHomes.removeAll(current.homes);
            }
            formerHomes.removeIf(home -> !isHandoverPending(home, span, current.from));
            queried.addAll(formerHomes);
        }
        if (!isComplete()) {
            queried.addAll(current.homes);
        }
        queried.remove(self);
        queried.retainAll(listed);
        return queried;
    }

    /**
     * Returns the spans, for peers and for the state dump.
     *
     * @return copies, oldest first
     */
    public List<HomeSpan> spans() {
        long now = clock.monotonicMillis();
        return spans.values().stream()
                .map(span ->
                        new HomeSpan(span.from, span.to, span.homes, span.isActive() ? 0 : now - span.endedAtMillis))
                .toList();
    }

    // ------------------------------------------------------------------ internals

    /**
     * Tells whether the revisions before the first one of this process are covered. Peers that started recently may all
     * have missed a revision, so either one peer that knows the whole horizon must have responded, or all peers.
     */
    private boolean isStartCovered(long now) {
        if (coveredMillis >= horizonMillis || now - startedAtMillis >= horizonMillis) {
            return true;
        }
        Set<InstanceName> others =
                spans.isEmpty() ? Set.of() : new HashSet<>(spans.lastEntry().getValue().homes);
        return !spans.isEmpty() && others.stream().allMatch(home -> home.equals(self) || respondedPeers.contains(home));
    }

    private boolean hasSealed(InstanceName home, long sinceRevision) {
        Seal seal = seals.get(home);
        return seal != null && seal.revision >= sinceRevision;
    }

    /** A home that is no longer listed can't be queried; its handover stays pending for the retry horizon only. */
    private boolean isHandoverPending(InstanceName home, Span span, long sinceRevision) {
        if (home.equals(self) || retired.contains(home) || hasSealed(home, sinceRevision)) {
            return false;
        }
        return listed.contains(home) || clock.monotonicMillis() - span.endedAtMillis < horizonMillis;
    }

    private void fillGaps(long from, long to) {
        List<Gap> overlapping = new ArrayList<>(gaps.values());
        overlapping.removeIf(gap -> gap.to < from || gap.from > to);
        for (Gap gap : overlapping) {
            gaps.remove(gap.from);
            if (gap.from < from) {
                gaps.put(gap.from, new Gap(gap.from, from - 1, gap.sinceMillis));
            }
            if (gap.to > to) {
                gaps.put(to + 1, new Gap(to + 1, gap.to, gap.sinceMillis));
            }
        }
    }

    private void prune(long now) {
        long current = spans.lastKey();
        spans.values()
                .removeIf(span -> span.from != current
                        && now - span.endedAtMillis >= horizonMillis
                        && span.homes.stream().noneMatch(home -> isHandoverPending(home, span, current)));
        while (spans.size() > MAXIMUM_SPANS) {
            Span dropped = spans.pollFirstEntry().getValue();
            gaps.put(dropped.from, new Gap(dropped.from, dropped.to, now));
        }
        gaps.values().removeIf(gap -> now - gap.sinceMillis >= horizonMillis);
    }

    /** Consecutive revisions with the same homes. */
    private record Span(long from, long to, Set<InstanceName> homes, long endedAtMillis) {

        private static final long ACTIVE = Long.MAX_VALUE;

        private boolean isActive() {
            return endedAtMillis == ACTIVE;
        }

        private static Span wider(Span first, Span second) {
            return first.to >= second.to ? first : second;
        }
    }

    /** The latest handover of a former home. */
    private record Seal(long revision, long completeSinceMillis) {}

    /** Revisions that this process has never seen. */
    private record Gap(long from, long to, long sinceMillis) {}
}
