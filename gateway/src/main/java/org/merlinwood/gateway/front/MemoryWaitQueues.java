package org.merlinwood.gateway.front;

import java.util.HashMap;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.MemoryWaitQueue;
import org.merlinwood.gateway.loop.EventLoop;

/** The lines of all services; tries them while anybody waits. Used by the event loop alone. */
final class MemoryWaitQueues {

    /** Time between two tries, in milliseconds: a fraction of the time between the ends of two answers. */
    private static final long TRY_MILLIS = 20;

    private final EventLoop loop;
    private final MillisClock clock;
    private final Map<String, MemoryWaitQueue> lines = new HashMap<>();
    private boolean scheduled;

    MemoryWaitQueues(EventLoop loop, MillisClock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    void add(String service, MemoryWaitQueue.Waiter waiter) {
        line(service).add(waiter);
        schedule();
    }

    void remove(String service, MemoryWaitQueue.Waiter waiter) {
        line(service).remove(waiter);
    }

    int size(String service) {
        return line(service).size();
    }

    private MemoryWaitQueue line(String service) {
        return lines.computeIfAbsent(service, ignored -> new MemoryWaitQueue(clock));
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(TRY_MILLIS, this::tryAll);
        }
    }

    private void tryAll() {
        scheduled = false;
        lines.values().forEach(MemoryWaitQueue::tryAll);
        if (lines.values().stream().anyMatch(line -> line.size() > 0)) {
            schedule();
        }
    }
}
