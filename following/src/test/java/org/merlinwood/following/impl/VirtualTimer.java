package org.merlinwood.following.impl;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.merlinwood.core.time.ManualMillisClock;

/** Runs tasks in virtual time on the test thread. */
final class VirtualTimer implements ControlTimer {

    private record Task(long atMillis, long sequence, Runnable body) {}

    private final ManualMillisClock clock;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::sequence));
    private long sequence;

    VirtualTimer(ManualMillisClock clock) {
        this.clock = clock;
    }

    @Override
    public void execute(Runnable task) {
        schedule(0, task);
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        tasks.add(new Task(clock.monotonicMillis() + delayMillis, sequence++, task));
    }

    /** Advances virtual time by a duration and runs the tasks that are due. */
    void run(long millis) {
        long end = clock.monotonicMillis() + millis;
        runUntil(() -> false, end);
        clock.advanceMillis(Math.max(0, end - clock.monotonicMillis()));
    }

    /** Runs tasks until a condition holds; returns false if it does not hold by the end time. */
    boolean runUntil(BooleanSupplier condition, long endMillis) {
        while (!condition.getAsBoolean()) {
            Task next = tasks.peek();
            if (next == null || next.atMillis() > endMillis) {
                return false;
            }
            tasks.remove();
            clock.advanceMillis(Math.max(0, next.atMillis() - clock.monotonicMillis()));
            next.body().run();
        }
        return true;
    }
}
