package org.merlinwood.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.loop.EventLoop;

/** Event loop whose clock advances only when a test calls {@link #advance}. */
public final class ManualLoop implements EventLoop {

    private final ManualMillisClock clock;
    private final ArrayDeque<Runnable> ready = new ArrayDeque<>();
    private final List<Scheduled> scheduled = new ArrayList<>();

    private record Scheduled(long sequenceNumber, long atMillis, Runnable task) {}

    private long lastSequenceNumber;

    public ManualLoop(ManualMillisClock clock) {
        this.clock = clock;
    }

    @Override
    public void execute(Runnable task) {
        ready.addLast(task);
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        Scheduled timer = new Scheduled(++lastSequenceNumber, clock.monotonicMillis() + delayMillis, task);
        scheduled.add(timer);
        return () -> scheduled.removeIf(other -> other.sequenceNumber() == timer.sequenceNumber());
    }

    /** Runs the queued tasks, including those that they queue; scheduled tasks stay scheduled. */
    public void run() {
        while (!ready.isEmpty()) {
            ready.removeFirst().run();
        }
    }

    /** Advances the clock and runs the tasks that become due, earliest first. */
    public void advance(long millis) {
        long endMillis = clock.monotonicMillis() + millis;
        run();
        Scheduled next;
        while ((next = firstDueUntil(endMillis)) != null) {
            scheduled.remove(next);
            clock.advanceMillis(Math.max(0, next.atMillis() - clock.monotonicMillis()));
            next.task().run();
            run();
        }
        clock.advanceMillis(endMillis - clock.monotonicMillis());
    }

    private Scheduled firstDueUntil(long endMillis) {
        return scheduled.stream()
                .filter(timer -> timer.atMillis() <= endMillis)
                .min(Comparator.comparingLong(Scheduled::atMillis))
                .orElse(null);
    }
}
