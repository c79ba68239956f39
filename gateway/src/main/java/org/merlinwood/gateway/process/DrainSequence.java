package org.merlinwood.gateway.process;

import java.util.function.IntSupplier;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.front.CallerConnections;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.operation.log.DecisionLog;

/**
 * The end of an entry: waits for its open requests as long as {@link DrainPolicy} allows, then exits. Runs once.
 * Confined to the event loop.
 */
final class DrainSequence {

    /** Interval between two checks for the end of the drain, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 20;

    /** Time between the last response and exit, in milliseconds. Requests that arrive in this time are refused. */
    private static final long EXIT_DELAY_MILLIS = 100;

    /** Time for the last log lines to be written before exit, in milliseconds. */
    private static final long LOG_FLUSH_MILLIS = 5;

    private final DrainPolicy policy;
    private final IntSupplier openRequests;
    private final CallerConnections connections;
    private final EventLoop loop;
    private final DecisionLog log;

    /**
     * Creates a sequence that has not started.
     *
     * @param policy decides which requests are still accepted, and when the process exits
     * @param openRequests returns the number of requests without a complete response
     * @param connections the open connections of callers
     * @param loop runs the checks for the end
     * @param log receives one line at the start and one at the end
     */
    DrainSequence(
            DrainPolicy policy,
            IntSupplier openRequests,
            CallerConnections connections,
            EventLoop loop,
            DecisionLog log) {
        this.policy = policy;
        this.openRequests = openRequests;
        this.connections = connections;
        this.loop = loop;
        this.log = log;
    }

    /**
     * Starts to drain. Further calls have no effect.
     *
     * @param exit ends the process; called on the event loop
     */
    void start(Runnable exit) {
        if (!policy.start()) {
            return;
        }
        log.line("drain").with("openRequests", openRequests.getAsInt()).write();
        pollUntilDrained(exit);
    }

    private void pollUntilDrained(Runnable exit) {
        if (policy.mayStopAccepting(openRequests.getAsInt())) {
            policy.stopAccepting();
            loop.schedule(EXIT_DELAY_MILLIS, () -> exitWhenDone(exit));
        } else {
            loop.schedule(DRAIN_POLL_MILLIS, () -> pollUntilDrained(exit));
        }
    }

    private void exitWhenDone(Runnable exit) {
        if (!policy.mayExit(openRequests.getAsInt())) {
            loop.schedule(DRAIN_POLL_MILLIS, () -> exitWhenDone(exit));
            return;
        }
        connections.recordExit();
        log.line("stop")
                .with("openRequests", openRequests.getAsInt())
                .with("connectionsWithoutRequest", connections.countWithoutRequest())
                .with("drainMillis", policy.elapsedMillis())
                .write();
        loop.schedule(LOG_FLUSH_MILLIS, exit);
    }
}
