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
 * The homes that keys of one service had under the revisions of the last retry horizon, and which of them have handed
 * over.
 *
 * <p>A key may run at its present home only if every earlier home has sealed, that is: has a revision under which it
 * refuses the key, and has told what it ran. A revision that was skipped may have named any home, so until a peer tells
 * of it, or the horizon has passed, the chain is incomplete. Not thread-safe: used by the control thread only.
 */
public final class HomeHistory {

    /** Spans that are remembered at most; forgetting one counts as a skipped revision. */
    public static final int MAXIMUM_SPANS = 64;

    /** How long after a change of the inventory another process may still act by the one before. */
    private static final long PROPAGATION_MILLIS = 10_000;

    private final InstanceName self;
    private final MillisClock clock;
    private final NavigableMap<Long, Span> spans = new TreeMap<>();
    private final NavigableMap<Long, Gap> gaps = new TreeMap<>();
    private final Map<InstanceName, Seal> seals = new HashMap<>();
    private final Set<InstanceName> answered = new HashSet<>();
    private Set<InstanceName> retired = Set.of();
    private Set<InstanceName> listed = Set.of();
    private final long startedAtMillis;
    private long coveredMillis;
    private long horizonMillis;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a chain that knows nothing.
     *
     * @param self this instance
     * @param clock its monotonic time judges the horizon
     */
    public HomeHistory(InstanceName self, MillisClock clock) {
        this.self = self;
        this.clock = clock;
        this.startedAtMillis = clock.monotonicMillis();
    }

    // ------------------------------------------------------------------ public API: learning

    /**
     * An inventory came into force here.
     *
     * @param revision its revision, higher than any before
     * @param homes instances of the service that are not retired
     * @param retiredNames instances that the operators declared gone for good
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
            spans.put(revision, new Span(revision, revision, Set.copyOf(homes), Span.IN_FORCE));
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
            spans.put(last.from, new Span(last.from, revision, last.homes, Span.IN_FORCE));
        } else {
            spans.put(last.from, new Span(last.from, last.to, last.homes, now));
            spans.put(revision, new Span(revision, revision, Set.copyOf(homes), Span.IN_FORCE));
        }
        prune(now);
    }

    /**
     * A peer told which homes it knew.
     *
     * @param peer the peer
     * @param known its spans
     * @param peerCoveredMillis how far back it knows every revision, in milliseconds
     */
    public void addPeerSpans(InstanceName peer, List<HomeSpan> known, long peerCoveredMillis) {
        answered.add(peer);
        coveredMillis = Math.max(coveredMillis, peerCoveredMillis);
        if (spans.isEmpty()) {
            return;
        }
        long current = spans.lastEntry().getValue().from;
        long now = clock.monotonicMillis();
        for (HomeSpan span : known) {
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
     * A home told everything that it ran for keys which are not its own any more.
     *
     * @param home the home
     * @param revision the revision that it has in force; it refuses those keys from then on
     * @param completeMillis how far back it knows what was run there, in milliseconds
     */
    public void recordHandover(InstanceName home, long revision, long completeMillis) {
        seals.put(home, new Seal(revision, clock.monotonicMillis() - completeMillis));
    }

    // ------------------------------------------------------------------ public API: judging

    /**
     * Tells whether some revision within the horizon is unknown here.
     *
     * @return false if a home may exist that this process never heard of
     */
    public boolean isComplete() {
        long now = clock.monotonicMillis();
        return isBeginningKnown(now) && gaps.values().stream().allMatch(gap -> now - gap.sinceMillis >= horizonMillis);
    }

    /**
     * Finds an earlier home of a key that has not sealed.
     *
     * @param key a key whose home is this instance now
     * @return such a home, or empty if all have sealed or are retired
     */
    public Optional<InstanceName> unsealedHome(IdempotencyKey key) {
        boolean sinceCurrent = true;
        long sinceRevision = spans.isEmpty() ? 0 : spans.lastKey();
        for (Span span : spans.descendingMap().values()) {
            Optional<InstanceName> home = KeyHome.among(key, span.homes);
            if (home.isEmpty() || home.get().equals(self)) {
                sinceRevision = sinceCurrent ? span.from : sinceRevision;
                continue;
            }
            sinceCurrent = false;
            if (isAwaited(home.get(), span, sinceRevision)) {
                return home;
            }
        }
        return Optional.empty();
    }

    /**
     * Tells since when all former homes of a key know what they ran.
     *
     * @param key a key whose home is this instance now
     * @return monotonic time in milliseconds; {@link Long#MIN_VALUE} where no other instance was its home
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
     * Tells since when this instance is the home of a key.
     *
     * @param key a key whose home is this instance now
     * @return monotonic time in milliseconds, early rather than late; {@link Long#MIN_VALUE} where it may always have
     *     been
     */
    public long homeSinceMillis(IdempotencyKey key) {
        long sinceMillis = Long.MIN_VALUE;
        boolean sinceCurrent = true;
        for (Span span : spans.descendingMap().values()) {
            boolean own = KeyHome.among(key, span.homes).filter(self::equals).isPresent();
            if (own && !sinceCurrent) {
                return Long.MIN_VALUE;
            }
            if (!own && sinceCurrent) {
                sinceCurrent = false;
                sinceMillis = span.endedAtMillis - PROPAGATION_MILLIS;
            }
        }
        return sinceMillis;
    }

    /**
     * Returns how far back this chain is complete.
     *
     * @return milliseconds, 0 while it is incomplete
     */
    public long coveredMillis() {
        return isComplete() ? clock.monotonicMillis() - startedAtMillis : 0;
    }

    /**
     * Lists the instances whose handover is awaited for some key, or that may know of revisions unknown here.
     *
     * @return names of listed instances to be asked
     */
    public Set<InstanceName> instancesToQuery() {
        if (spans.isEmpty()) {
            return Set.of();
        }
        Span current = spans.lastEntry().getValue();
        Set<InstanceName> asked = new HashSet<>();
        for (Span span : spans.headMap(current.from).values()) {
            Set<InstanceName> former = new HashSet<>(span.homes);
            if (span.homes.contains(self)) {
                former.removeAll(current.homes);
            }
            former.removeIf(home -> !isAwaited(home, span, current.from));
            asked.addAll(former);
        }
        if (!isComplete()) {
            asked.addAll(current.homes);
        }
        asked.remove(self);
        asked.retainAll(listed);
        return asked;
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
                        new HomeSpan(span.from, span.to, span.homes, span.isInForce() ? 0 : now - span.endedAtMillis))
                .toList();
    }

    // ------------------------------------------------------------------ internals

    /** Young peers may all have missed a revision, so one that knows the whole horizon is needed, or all of them. */
    private boolean isBeginningKnown(long now) {
        if (coveredMillis >= horizonMillis || now - startedAtMillis >= horizonMillis) {
            return true;
        }
        Set<InstanceName> others =
                spans.isEmpty() ? Set.of() : new HashSet<>(spans.lastEntry().getValue().homes);
        return !spans.isEmpty() && others.stream().allMatch(home -> home.equals(self) || answered.contains(home));
    }

    private boolean hasSealed(InstanceName home, long sinceRevision) {
        Seal seal = seals.get(home);
        return seal != null && seal.revision >= sinceRevision;
    }

    /** A home that is not listed any more can't be asked: it is awaited for the horizon only. */
    private boolean isAwaited(InstanceName home, Span span, long sinceRevision) {
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
                        && span.homes.stream().noneMatch(home -> isAwaited(home, span, current)));
        while (spans.size() > MAXIMUM_SPANS) {
            Span dropped = spans.pollFirstEntry().getValue();
            gaps.put(dropped.from, new Gap(dropped.from, dropped.to, now));
        }
        gaps.values().removeIf(gap -> now - gap.sinceMillis >= horizonMillis);
    }

    /** Revisions with the same homes. */
    private record Span(long from, long to, Set<InstanceName> homes, long endedAtMillis) {

        private static final long IN_FORCE = Long.MAX_VALUE;

        private boolean isInForce() {
            return endedAtMillis == IN_FORCE;
        }

        private static Span wider(Span first, Span second) {
            return first.to >= second.to ? first : second;
        }
    }

    /** What a former home told last. */
    private record Seal(long revision, long completeSinceMillis) {}

    /** Revisions that were never seen here. */
    private record Gap(long from, long to, long sinceMillis) {}
}
