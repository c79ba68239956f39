package org.merlinwood.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.gateway.ManualLoop;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.front.CallerConnections;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.operation.log.DecisionLog;

final class DrainSequenceTest {

    /** Time from the shutdown signal to the forced exit, in milliseconds. */
    private static final long GRACE_MILLIS = 8_000;

    /** Time that no drain takes if all requests are complete, in milliseconds. */
    private static final long UNDISTURBED_MILLIS = 3_000;

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final ManualLoop loop = new ManualLoop(clock);
    private final DrainPolicy policy = new DrainPolicy(clock, GRACE_MILLIS);
    private int openRequests;
    private int exits;
    private DrainSequence sequence;

    @BeforeEach
    void createSequence() {
        DecisionLog log = new DecisionLog("test", clock, new PrintStream(OutputStream.nullOutputStream()));
        sequence = new DrainSequence(
                policy,
                () -> openRequests,
                new CallerConnections(loop, clock, 120_000, log, new MetricRegistry()),
                loop,
                log);
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

    @Test
    void secondStartHasNoEffect() {
        sequence.start(() -> exits++);
        sequence.start(() -> exits++);
        loop.advance(GRACE_MILLIS);
        assertThat(exits).isEqualTo(1);
    }
}
