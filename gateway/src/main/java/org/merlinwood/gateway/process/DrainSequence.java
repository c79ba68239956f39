package org.merlinwood.gateway.process;

import java.util.function.IntSupplier;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.front.CallerEndpoint;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.operation.log.DecisionLog;

/**
 * The end of an entry: waits for its open requests as long as {@link DrainPolicy} allows, stops listening, ends the
 * connections of callers, then exits. Runs once. Confined to the event loop.
 *
 * <p>The end of a process takes some milliseconds in which nobody reads from its connections, and the operating system
 * still accepts new ones. What arrives in that time is cut, so the process exits with no connection open, if it can.
 */
final class DrainSequence {

    /** Interval between two checks for the end of the drain, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 20;

    /** Time from the last response until the entry stops listening, in milliseconds. Requests are refused in it. */
    private static final long LISTENER_DELAY_MILLIS = 100;

    /** Time for which a connection is kept for its first request once nothing listens any more, in milliseconds. */
    private static final long FIRST_REQUEST_MILLIS = 500;

    /**
     * Time for which the entry waits for responses once it may exit whatever is open, in milliseconds. Those that have
     * begun may still be completed.
     */
    private static final long LAST_RESPONSE_MILLIS = 100;

    /** Interval between two looks at the open connections once nothing listens any more, in milliseconds. */
    private static final long CONNECTION_POLL_MILLIS = 5;

    /** Time for the last log lines to be written before exit, in milliseconds. */
    private static final long LOG_FLUSH_MILLIS = 5;

    private final DrainPolicy policy;
    private final IntSupplier openRequests;
    private final CallerEndpoint callers;
    private final EventLoop loop;
    private final DecisionLog log;

    /**
     * Creates a sequence that has not started.
     *
     * @param policy decides which requests are still accepted, and when the process exits
     * @param openRequests returns the number of requests without a complete response
     * @param callers where callers connect
     * @param loop runs the checks for the end
     * @param log receives one line at the start and one at the end
     */
    DrainSequence(
            DrainPolicy policy, IntSupplier openRequests, CallerEndpoint callers, EventLoop loop, DecisionLog log) {
        this.policy = policy;
        this.openRequests = openRequests;
        this.callers = callers;
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
            loop.schedule(LISTENER_DELAY_MILLIS, () -> stopListening(exit));
        } else {
            loop.schedule(DRAIN_POLL_MILLIS, () -> pollUntilDrained(exit));
        }
    }

    private void stopListening(Runnable exit) {
        loop.schedule(CONNECTION_POLL_MILLIS, () -> endConnections(Long.MAX_VALUE, exit));
        callers.stopListening();
    }

    /**
     * Ends the connections without a request, until none is left, and exits. The time for it begins with the first
     * look, since nothing was read before if the event loop stood still. Each step is scheduled before the one that may
     * throw.
     */
    private void endConnections(long endMillis, Runnable exit) {
        if (mayExit(endMillis)) {
            recordStop();
            loop.schedule(LOG_FLUSH_MILLIS, exit);
            return;
        }
        long nextEndMillis = Math.min(endMillis, policy.elapsedMillis() + FIRST_REQUEST_MILLIS);
        loop.schedule(CONNECTION_POLL_MILLIS, () -> endConnections(nextEndMillis, exit));
        callers.closeIdleConnections(FIRST_REQUEST_MILLIS);
    }

    private boolean mayExit(long endMillis) {
        if (openRequests.getAsInt() > 0) {
            return policy.millisUntilForcedExit() <= -LAST_RESPONSE_MILLIS;
        }
        return callers.openConnections() == 0
                || policy.elapsedMillis() > endMillis
                || policy.millisUntilForcedExit() <= 0;
    }

    private void recordStop() {
        callers.recordExit();
        log.line("stop")
                .with("openRequests", openRequests.getAsInt())
                .with("connectionsWithoutRequest", callers.connectionsWithoutRequest())
                .with("drainMillis", policy.elapsedMillis())
                .write();
    }
}
