package org.merlinwood.gateway.front;

import java.util.HashMap;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.MemoryWaitQueue;
import org.merlinwood.gateway.loop.EventLoop;

/**
 * Holds the queues of requests that wait for memory, one for each service, and retries the requests periodically while
 * any request waits. Used by the event loop alone.
 */
final class MemoryWaitQueues {

    /** Interval between retries, in milliseconds: a fraction of the usual time between two completed responses. */
    private static final long RETRY_INTERVAL_MILLIS = 20;

    private final EventLoop loop;
    private final MillisClock clock;
    private final Map<String, MemoryWaitQueue> queuesByService = new HashMap<>();
    private boolean scheduled;

    MemoryWaitQueues(EventLoop loop, MillisClock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    void add(String service, MemoryWaitQueue.Waiter waiter) {
        queueOf(service).add(waiter);
        schedule();
    }

    void remove(String service, MemoryWaitQueue.Waiter waiter) {
        queueOf(service).remove(waiter);
    }

    int size(String service) {
        return queueOf(service).size();
    }

    private MemoryWaitQueue queueOf(String service) {
        return queuesByService.computeIfAbsent(service, ignored -> new MemoryWaitQueue(clock));
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(RETRY_INTERVAL_MILLIS, this::tryAll);
        }
    }

    private void tryAll() {
        scheduled = false;
        try {
            queuesByService.values().forEach(MemoryWaitQueue::tryAll);
        } finally {
            scheduleIfAnyWaits();
        }
    }

    private void scheduleIfAnyWaits() {
        if (queuesByService.values().stream().anyMatch(queue -> queue.size() > 0)) {
            schedule();
        }
    }
}
