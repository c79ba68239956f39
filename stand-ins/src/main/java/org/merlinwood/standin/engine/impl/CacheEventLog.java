package org.merlinwood.standin.engine.impl;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.core.time.MillisClock;

/** Cache events, shown late and with gaps. Thread-safe; keeps the latest ones. */
public final class CacheEventLog {

    /** Kind of an event that says blocks were stored. */
    public static final String STORED = "stored";

    /** Kind of an event that says blocks were evicted. */
    public static final String EVICTED = "evicted";

    private static final int MAXIMUM_EVENTS = 4_096;
    private static final int MAXIMUM_EVENTS_PER_ANSWER = 512;

    private final List<LateEvent> events = new ArrayList<>();
    private final MillisClock clock;
    private final long delayMillis;
    private final int gapEvery;
    private long lastSequence;

    /**
     * Creates an empty log.
     *
     * @param clock the clock
     * @param delayMillis how late events are shown, in milliseconds
     * @param gapEvery one event in so many is lost; 0 loses none
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
        events.add(new LateEvent(
                clock.monotonicMillis() + delayMillis, new CacheEvent(lastSequence, kind, List.copyOf(blocks))));
        if (events.size() > MAXIMUM_EVENTS) {
            events.removeFirst();
        }
    }

    /**
     * Returns events that are visible by now.
     *
     * @param after sequence number of the last event known
     * @return a bounded number of later events
     */
    public synchronized CacheEvents after(long after) {
        long now = clock.monotonicMillis();
        List<CacheEvent> visible = events.stream()
                .filter(late -> late.visibleAtMillis <= now && late.event.sequence() > after)
                .map(LateEvent::event)
                .limit(MAXIMUM_EVENTS_PER_ANSWER)
                .toList();
        return new CacheEvents(visible.isEmpty() ? after : visible.getLast().sequence(), visible);
    }

    /**
     * Answer to a question for events.
     *
     * @param next sequence number to ask with next
     * @param events the events
     */
    public record CacheEvents(long next, List<CacheEvent> events) {}

    /**
     * One event.
     *
     * @param sequence its number; a hole is a lost event
     * @param kind {@link #STORED} or {@link #EVICTED}
     * @param blocks hashes of the blocks
     */
    public record CacheEvent(long sequence, String kind, List<String> blocks) {}

    private record LateEvent(long visibleAtMillis, CacheEvent event) {}
}
