package org.merlinwood.replay.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.time.MillisClock;

/** Time that jumps from event to event. Events at the same time run in the order they were added. Not thread-safe. */
public final class VirtualTime implements MillisClock {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long nextSequence;

    /**
     * Adds an event.
     *
     * @param delayMicros microseconds from now, not negative
     * @param action what happens
     */
    public void after(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delayMicros), nextSequence++, action));
    }

    /** Runs until no event is left. */
    public void run() {
        Event event = events.poll();
        while (event != null) {
            nowMicros = event.atMicros;
            event.action.run();
            event = events.poll();
        }
    }

    /**
     * Returns the time.
     *
     * @return microseconds from the start
     */
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public long monotonicMillis() {
        return TimeUnit.MICROSECONDS.toMillis(nowMicros);
    }

    @Override
    public long wallMillis() {
        return monotonicMillis();
    }

    private record Event(long atMicros, long sequence, Runnable action) {}
}
