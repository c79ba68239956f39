package org.merlinwood.standin.engine.impl;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.core.time.MillisClock;

/** Log of the most recent cache events, which become visible after a delay and have gaps. Thread-safe. */
public final class CacheEventLog {

    /** Event kind: blocks were stored. */
    public static final String STORED = "stored";

    /** Event kind: blocks were evicted. */
    public static final String EVICTED = "evicted";

    private static final int MAXIMUM_EVENTS = 4_096;
    private static final int MAXIMUM_EVENTS_PER_RESPONSE = 512;

    private final List<DelayedEvent> events = new ArrayList<>();
    private final MillisClock clock;
    private final long delayMillis;
    private final int gapEvery;
    private long lastSequence;

    /**
     * Creates an empty log.
     *
     * @param clock time source
     * @param delayMillis delay until an event becomes visible, in milliseconds
     * @param gapEvery every event whose sequence number is a multiple of this is lost; 0 loses none
     */
    public CacheEventLog(MillisClock clock, long delayMillis, int gapEvery) {
        this.clock = clock;
        this.delayMillis = delayMillis;
        this.gapEvery = gapEvery;
    }

    synchronized void add(String kind, List<String> blocks) {
        if (blocks.isEmpty()) {
            return;
        }
        lastSequence++;
        if (gapEvery > 0 && lastSequence % gapEvery == 0) {
            return;
        }
        events.add(new DelayedEvent(
                clock.monotonicMillis() + delayMillis, new CacheEvent(lastSequence, kind, List.copyOf(blocks))));
        if (events.size() > MAXIMUM_EVENTS) {
            events.removeFirst();
        }
    }

    /**
     * Returns the visible events after a sequence number.
     *
     * @param after sequence number of the last event that the client knows, 0 for none
     * @return the oldest of these events, limited to one response
     */
    public synchronized CacheEvents after(long after) {
        long now = clock.monotonicMillis();
        List<CacheEvent> visible = events.stream()
                .filter(delayed -> delayed.visibleAtMillis <= now && delayed.event.sequence() > after)
                .map(DelayedEvent::event)
                .limit(MAXIMUM_EVENTS_PER_RESPONSE)
                .toList();
        return new CacheEvents(visible.isEmpty() ? after : visible.getLast().sequence(), visible);
    }

    /**
     * Response with cache events.
     *
     * @param next sequence number to pass as {@code after} in the next request
     * @param events the events, by sequence number
     */
    public record CacheEvents(long next, List<CacheEvent> events) {}

    /**
     * One cache event.
     *
     * @param sequence sequence number; a gap in the numbers means a lost event
     * @param kind {@link #STORED} or {@link #EVICTED}
     * @param blocks hashes of the prefix blocks
     */
    public record CacheEvent(long sequence, String kind, List<String> blocks) {}

    private record DelayedEvent(long visibleAtMillis, CacheEvent event) {}
}
