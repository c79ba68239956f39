package org.merlinwood.gateway.front;

import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.MemoryCompetition;
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
    private final MemoryCompetition competition;
    private boolean scheduled;

    /** Creates queues whose requests are not ranked. */
    MemoryWaitQueues(EventLoop loop, MillisClock clock) {
        this(loop, new MemoryCompetition(clock, false));
    }

    MemoryWaitQueues(EventLoop loop, MemoryCompetition competition) {
        this.loop = loop;
        this.competition = competition;
    }

    /** Returns the requests with which those of the queues compete. */
    MemoryCompetition competition() {
        return competition;
    }

    void add(String service, MemoryWaitQueue.Waiter waiter) {
        competition.queueOf(service).add(waiter);
        schedule();
    }

    void remove(String service, MemoryWaitQueue.Waiter waiter) {
        competition.queueOf(service).remove(waiter);
    }

    int size(String service) {
        return competition.queueOf(service).size();
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
            competition.queues().forEach(MemoryWaitQueue::tryAll);
        } finally {
            scheduleIfAnyWaits();
        }
    }

    private void scheduleIfAnyWaits() {
        if (competition.queues().stream().anyMatch(queue -> queue.size() > 0)) {
            schedule();
        }
    }
}
