package org.merlinwood.gateway.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;

final class MemoryWaitQueueTest {

    private static final long TARGET_MILLIS = 900;

    private final ManualMillisClock clock = new ManualMillisClock(10_000);
    private final MemoryWaitQueue queue = new MemoryWaitQueue(clock);
    private final List<String> tried = new ArrayList<>();

    /** Under overload not all waiting requests can meet their target, so freed memory goes to those that still can. */
    @Test
    void triesRequestsThatCanMeetTargetFirstAndOldestFirst() {
        add("late", clock.monotonicMillis() - 800, false);
        add("later", clock.monotonicMillis() - 1_500, false);
        add("young", clock.monotonicMillis() - 10, false);
        add("old", clock.monotonicMillis() - 400, false);
        queue.tryAll();
        assertThat(tried).containsExactly("old", "young", "later", "late");
    }

    @Test
    void placedRequestIsRemoved() {
        add("placed", clock.monotonicMillis(), true);
        add("waiting", clock.monotonicMillis(), false);
        queue.tryAll();
        assertThat(queue.size()).isEqualTo(1);
    }

    private void add(String name, long arrivedMillis, boolean placed) {
        queue.add(new MemoryWaitQueue.Waiter() {
            @Override
            public long arrivedMillis() {
                return arrivedMillis;
            }

            @Override
            public long targetMillis() {
                return TARGET_MILLIS;
            }

            @Override
            public boolean tryNow() {
                tried.add(name);
                return placed;
            }

            @Override
            public void onException(RuntimeException exception) {
                throw exception;
            }
        });
    }
}
