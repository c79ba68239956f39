package org.merlinwood.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.loop.EventLoop;

/** An event loop whose time moves only when a test says so. */
public final class ManualLoop implements EventLoop {

    private final ManualMillisClock clock;
    private final ArrayDeque<Runnable> ready = new ArrayDeque<>();
    private final List<Scheduled> scheduled = new ArrayList<>();

    private record Scheduled(long number, long atMillis, Runnable task) {}

    private long lastNumber;

    public ManualLoop(ManualMillisClock clock) {
        this.clock = clock;
    }

    @Override
    public void execute(Runnable task) {
        ready.addLast(task);
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        Scheduled entry = new Scheduled(++lastNumber, clock.monotonicMillis() + delayMillis, task);
        scheduled.add(entry);
        return () -> scheduled.removeIf(other -> other.number() == entry.number());
    }

    /** Runs what is ready now. */
    public void run() {
        while (!ready.isEmpty()) {
            ready.removeFirst().run();
        }
    }

    /** Moves the time, and runs what becomes due in order. */
    public void advance(long millis) {
        long end = clock.monotonicMillis() + millis;
        run();
        Scheduled next;
        while ((next = firstUntil(end)) != null) {
            scheduled.remove(next);
            clock.advanceMillis(Math.max(0, next.atMillis() - clock.monotonicMillis()));
            next.task().run();
            run();
        }
        clock.advanceMillis(end - clock.monotonicMillis());
    }

    private Scheduled firstUntil(long end) {
        return scheduled.stream()
                .filter(entry -> entry.atMillis() <= end)
                .min(Comparator.comparingLong(Scheduled::atMillis))
                .orElse(null);
    }
}
