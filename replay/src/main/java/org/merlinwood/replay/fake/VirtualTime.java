package org.merlinwood.replay.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.time.MillisClock;

/**
 * Discrete-event scheduler and clock. Virtual time advances from event to event; events with the same time run in the
 * order in which they were added. Not thread-safe.
 */
public final class VirtualTime implements MillisClock {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long nextSequence;

    /** Creates a scheduler at time 0 without events. */
    public VirtualTime() {}

    /**
     * Schedules an action.
     *
     * @param delayMicros delay in microseconds; a negative delay counts as 0
     * @param action the action
     */
    public void after(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delayMicros), nextSequence++, action));
    }

    /** Runs events until none is left, including those that are added meanwhile. */
    public void run() {
        Event event = events.poll();
        while (event != null) {
            nowMicros = event.atMicros;
            event.action.run();
            event = events.poll();
        }
    }

    /**
     * Returns the current virtual time.
     *
     * @return microseconds since the start of the replay
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
