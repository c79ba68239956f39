package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.merlinwood.gateway.front.SentStream.SECOND_EVENT;
import static org.merlinwood.gateway.front.SentStream.SILENCE_MILLIS;
import static org.merlinwood.gateway.front.SentStream.assertComplete;
import static org.merlinwood.gateway.front.SentStream.fixtureWithBegunStream;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.decision.MemoryWaitQueue;
import org.merlinwood.gateway.fleet.Stage;

/** Guards against a waiting request whose step throws, and that keeps the others from memory or has no end itself. */
final class WaitingRequestThatThrowsTest {

    /** A request whose step throws must not keep all others from memory. */
    @Test
    void waitingRequestsAreTriedAlthoughOneThrows() {
        ManualMillisClock clock = new ManualMillisClock(1_000);
        ManualLoop loop = new ManualLoop(clock);
        MemoryWaitQueues queues = new MemoryWaitQueues(loop, clock);
        AtomicInteger tried = new AtomicInteger();
        queues.add(
                "service",
                waiter(
                        1,
                        () -> {
                            throw new IllegalStateException("thrown by the test");
                        },
                        new ArrayList<>()));
        queues.add("service", waiter(2, tried::incrementAndGet, new ArrayList<>()));
        for (int tick = 0; tick < 5; tick++) {
            try {
                loop.advance(20);
            } catch (IllegalStateException thrown) {
                // The loop of the process logs it and goes on.
            }
        }
        assertThat(tried.get()).isPositive();
        assertThat(queues.size("service")).isZero();
    }

    /** The request whose step throws must not be left without an end. */
    @Test
    void requestWhoseStepThrowsIsEnded() {
        ManualMillisClock clock = new ManualMillisClock(1_000);
        ManualLoop loop = new ManualLoop(clock);
        MemoryWaitQueues queues = new MemoryWaitQueues(loop, clock);
        List<RuntimeException> ended = new ArrayList<>();
        RuntimeException thrown = new IllegalStateException("thrown by the test");
        queues.add(
                "service",
                waiter(
                        1,
                        () -> {
                            throw thrown;
                        },
                        ended));
        loop.advance(20);
        assertThat(ended).containsExactly(thrown);
    }

    /** A caller whose stream has begun sees its end. */
    @Test
    void streamWhoseStepThrowsIsBrokenOff() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        fixture.fleet.remove("d1");
        fixture.fleet.remove("d2");
        fixture.client.last().fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
        fixture.register(Stage.DECODE, "d3");
        fixture.client.throwOnNextSend(new IllegalStateException("thrown by the test"));
        fixture.loop.advance(20);
        assertThat(fixture.caller.aborted).isTrue();
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    /** The step that throws belongs to a replacement: the silent attempt still goes on. */
    @Test
    void silentAttemptGoesOnWhenTheStepOfItsReplacementThrows() {
        RequestProcessorFixture fixture = fixtureWithBegunStream();
        SentRequest attempt = fixture.client.last();
        fixture.fleet.remove("d2");
        fixture.staySilent(attempt, SILENCE_MILLIS);
        fixture.register(Stage.DECODE, "d3");
        fixture.client.throwOnNextSend(new IllegalStateException("thrown by the test"));
        fixture.loop.advance(20);
        attempt.bytes(SECOND_EVENT);
        attempt.end();
        assertComplete(fixture);
        assertThat(fixture.pool.sharedWork().own()).isEmpty();
    }

    private static MemoryWaitQueue.Waiter waiter(long arrivedMillis, Runnable step, List<RuntimeException> ended) {
        return new MemoryWaitQueue.Waiter() {
            @Override
            public long arrivedMillis() {
                return arrivedMillis;
            }

            @Override
            public long targetMillis() {
                return 900;
            }

            @Override
            public boolean tryNow() {
                step.run();
                return true;
            }

            @Override
            public void onException(RuntimeException exception) {
                ended.add(exception);
            }
        };
    }
}
