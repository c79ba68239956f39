package org.merlinwood.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.front.CallerEndpoint;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.operation.log.DecisionLog;

final class DrainSequenceTest {

    /** Time from the shutdown signal to the forced exit, in milliseconds. */
    private static final long GRACE_MILLIS = 8_000;

    /** Time that no drain takes if all requests are complete, in milliseconds. */
    private static final long UNDISTURBED_MILLIS = 3_000;

    /** Time for which the event loop stands still, in milliseconds: as seen on a machine without free processors. */
    private static final long STALL_MILLIS = 900;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final ManualLoop loop = new ManualLoop(clock);
    private final DrainPolicy policy = new DrainPolicy(clock, GRACE_MILLIS);
    private final CountedCallers callers = new CountedCallers();
    private int openRequests;
    private int exits;
    private DrainSequence sequence;

    @BeforeEach
    void createSequence() {
        DecisionLog log = new DecisionLog("test", clock, new PrintStream(OutputStream.nullOutputStream()));
        sequence = new DrainSequence(policy, () -> openRequests, callers, loop, log);
    }

    @Test
    void exitsOnceAllRequestsAreComplete() {
        openRequests = 1;
        sequence.start(() -> exits++);
        loop.advance(UNDISTURBED_MILLIS);
        assertThat(exits).isZero();
        openRequests = 0;
        loop.advance(UNDISTURBED_MILLIS);
        assertThat(exits).isEqualTo(1);
    }

    /** The platform kills the process at the end of its grace, so it exits before, whatever is still open. */
    @Test
    void exitsBeforeEndOfGraceWithOpenRequests() {
        openRequests = 1;
        sequence.start(() -> exits++);
        loop.advance(GRACE_MILLIS - 1);
        assertThat(exits).isEqualTo(1);
    }

    /** A request that arrives between the last response and the exit is refused; one that got in is completed. */
    @Test
    void acceptsNothingBehindLastResponseAndCompletesWhatWasAccepted() {
        sequence.start(() -> exits++);
        while (policy.accepts(RequestKind.IDEMPOTENT)) {
            loop.advance(10);
        }
        openRequests = 1;
        loop.advance(1_000);
        assertThat(exits).isZero();
        openRequests = 0;
        loop.advance(1_000);
        assertThat(exits).isEqualTo(1);
    }

    /** The operating system accepts connections while the process ends, and nobody reads their requests. */
    @Test
    void exitsOnlyAfterItStoppedListening() {
        sequence.start(() -> exits++);
        while (exits == 0) {
            loop.advance(1);
            assertThat(exits == 0 || !callers.listening).isTrue();
        }
        assertThat(callers.exitRecorded).isTrue();
    }

    /** A restart that takes longer costs callers as well. */
    @Test
    void withoutConnectionsTheEndTakesLittleLonger() {
        sequence.start(() -> exits++);
        advanceUntilNothingListens();
        loop.advance(10);
        assertThat(exits).isEqualTo(1);
    }

    /** Requests on open connections would be cut by the exit; idle ones are used until nothing listens any more. */
    @Test
    void exitsOnlyOnceItsConnectionsHaveEnded() {
        callers.idle = 2;
        callers.unused = 1;
        sequence.start(() -> exits++);
        advanceUntilNothingListens();
        assertThat(callers.idle).isEqualTo(2);
        loop.advance(10);
        assertThat(callers.idle).isZero();
        loop.advance(300);
        assertThat(exits).as("waits for the first request").isZero();
        callers.unused = 0;
        loop.advance(20);
        assertThat(exits).isEqualTo(1);
    }

    /** A caller that has sent half a head must not hold up a restart. */
    @Test
    void connectionThatIsNeverIdleDelaysTheExitForHalfASecond() {
        callers.busy = 1;
        sequence.start(() -> exits++);
        advanceUntilNothingListens();
        loop.advance(450);
        assertThat(exits).isZero();
        loop.advance(100);
        assertThat(exits).isEqualTo(1);
    }

    /** Requests are open until the end, and connections wait for their first one. */
    @Test
    void connectionsEndBeforeTheForcedExit() {
        openRequests = 1;
        callers.unused = 1;
        callers.idle = 1;
        sequence.start(() -> exits++);
        while (exits == 0) {
            loop.advance(1);
        }
        assertThat(clock.monotonicMillis())
                .as("a response that has begun may be completed")
                .isBetween(GRACE_MILLIS - 200, GRACE_MILLIS - 100);
        assertThat(callers.openConnections()).isZero();
    }

    /** An event loop that stood still behind the end of the listener has read nothing meanwhile. */
    @Test
    void idleConnectionsEndBeforeTheExitAlthoughTheLoopStoodStill() {
        callers.idle = 2;
        sequence.start(() -> exits++);
        advanceUntilNothingListens();
        clock.advanceMillis(STALL_MILLIS);
        while (exits == 0) {
            loop.advance(1);
        }
        assertThat(callers.idle).isZero();
    }

    /** A step that throws must not leave a process that is killed at the end of its grace with all that is open. */
    @Test
    void exitsAlthoughOneStepThrows() {
        callers.idle = 2;
        callers.throwOnce = true;
        sequence.start(() -> exits++);
        for (long millis = 0; millis < GRACE_MILLIS; millis += 10) {
            try {
                loop.advance(10);
            } catch (IllegalStateException thrown) {
                // The loop of the process logs it and goes on.
            }
        }
        assertThat(exits).isEqualTo(1);
    }

    private void advanceUntilNothingListens() {
        while (callers.listening) {
            loop.advance(1);
        }
    }

    @Test
    void secondStartHasNoEffect() {
        sequence.start(() -> exits++);
        sequence.start(() -> exits++);
        loop.advance(GRACE_MILLIS);
        assertThat(exits).isEqualTo(1);
    }

    /** Callers that have so many connections of each kind. */
    private final class CountedCallers implements CallerEndpoint {

        private boolean listening = true;
        private boolean exitRecorded;
        private boolean throwOnce;
        private int idle;
        private int unused;
        private int busy;
        private long stoppedMillis;

        @Override
        public void stopListening() {
            listening = false;
            stoppedMillis = clock.monotonicMillis();
        }

        @Override
        public void closeIdleConnections(long unusedMillis) {
            if (throwOnce) {
                throwOnce = false;
                throw new IllegalStateException("thrown by the test");
            }
            idle = 0;
            if (clock.monotonicMillis() - stoppedMillis >= unusedMillis) {
                unused = 0;
            }
        }

        @Override
        public int openConnections() {
            return idle + unused + busy;
        }

        @Override
        public void recordExit() {
            exitRecorded = true;
        }

        @Override
        public int connectionsWithoutRequest() {
            return idle + unused;
        }
    }
}
