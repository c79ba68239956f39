package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;

/**
 * The streams whose first event an entry forwarded or may forward, and those that other entries told it of, each with
 * the software version that it is bound to.
 *
 * <p>An origin is kept for as long as its caller may take the stream up again; if there are more than
 * {@link #MAXIMUM_ORIGINS}, the oldest ones are forgotten first. Confined to the event loop.
 */
public final class StreamOrigins {

    /** Largest number of origins that are kept, own and told ones together: about 16 MB. */
    static final int MAXIMUM_ORIGINS = 100_000;

    /** Longest time for which an origin is kept, in milliseconds. */
    static final long MAXIMUM_LIFETIME_MILLIS = 600_000;

    private final MillisClock clock;

    /** By the attempt, the one that was recorded first comes first. */
    private final Map<String, Kept> keptByAttempt = new LinkedHashMap<>();

    /**
     * An origin that is kept.
     *
     * @param version the software version
     * @param own whether this entry sent the attempt
     * @param endMillis monotonic time at which it is forgotten, in milliseconds
     */
    private record Kept(String version, boolean own, long endMillis) {}

    /**
     * Creates an empty registry.
     *
     * @param clock source of the monotonic time
     */
    public StreamOrigins(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Records an origin that this entry knows from its own attempt. Replaces what was known of the attempt.
     *
     * @param origin the origin
     */
    public void recordOwn(StreamOrigin origin) {
        record(origin, true);
    }

    /**
     * Records an origin that another entry told. Replaces what was known of the attempt: the entry that sends an
     * attempt tells the versions in their order.
     *
     * @param origin the origin
     */
    public void recordTold(StreamOrigin origin) {
        record(origin, false);
    }

    private void record(StreamOrigin origin, boolean own) {
        long lifetimeMillis = Math.clamp(origin.lifetimeMillis(), 1, MAXIMUM_LIFETIME_MILLIS);
        keptByAttempt.remove(origin.attempt());
        keptByAttempt.put(origin.attempt(), new Kept(origin.version(), own, clock.monotonicMillis() + lifetimeMillis));
        forgetOldest();
    }

    private void forgetOldest() {
        Iterator<Kept> oldestFirst = keptByAttempt.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean expired = isExpired(oldestFirst.next());
            if (!expired && keptByAttempt.size() <= MAXIMUM_ORIGINS) {
                return;
            }
            oldestFirst.remove();
        }
    }

    private boolean isExpired(Kept kept) {
        return kept.endMillis() <= clock.monotonicMillis();
    }

    /**
     * Returns the software version that a stream is bound to.
     *
     * @param attempt identifier of the attempt that brought its first event
     * @return the version, or empty if this entry doesn't know it
     */
    public Optional<String> versionOf(String attempt) {
        return Optional.ofNullable(keptByAttempt.get(attempt))
                .filter(kept -> !isExpired(kept))
                .map(Kept::version);
    }

    /**
     * Returns the origins of this entry's own attempts.
     *
     * @return those that are not forgotten, with the rest of their lifetimes; a copy
     */
    public List<StreamOrigin> own() {
        long nowMillis = clock.monotonicMillis();
        List<StreamOrigin> own = new ArrayList<>();
        keptByAttempt.forEach((attempt, kept) -> {
            if (kept.own() && kept.endMillis() > nowMillis) {
                own.add(new StreamOrigin(attempt, kept.version(), kept.endMillis() - nowMillis));
            }
        });
        return own;
    }

    /**
     * Returns the number of origins that are kept.
     *
     * @return number, some of which may have expired
     */
    public int size() {
        return keptByAttempt.size();
    }
}
