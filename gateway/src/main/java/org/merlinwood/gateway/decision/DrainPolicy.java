package org.merlinwood.gateway.decision;

import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.route.RequestKind;

/**
 * Decides which requests a draining entry still accepts, and when its process exits.
 *
 * <p>Requests that could not be completed before the process is killed are refused, so that their callers turn to
 * another entry at once. Confined to the event loop.
 */
public final class DrainPolicy {

    /**
     * Minimum time from the start of draining to the exit, in milliseconds. It covers two health checks of the platform
     * and the requests that are on their way to this entry.
     */
    private static final long MINIMUM_DRAIN_MILLIS = 2_500;

    /** Time before the forced exit at which the entry exits by itself, in milliseconds. */
    private static final long FORCED_EXIT_MARGIN_MILLIS = 300;

    /**
     * Time from the last moment at which a request is accepted to the forced exit, in milliseconds. Connections without
     * a request are closed in this time.
     */
    private static final long CONNECTION_END_MILLIS = 650;

    /** Usual maximum duration of a streamed response, in milliseconds. */
    private static final long STREAM_MILLIS = 6_500;

    /** Usual maximum duration of a plain response, in milliseconds. */
    private static final long PLAIN_MILLIS = 2_000;

    private final MillisClock clock;
    private final long graceMillis;
    private boolean draining;
    private boolean acceptingStopped;
    private long startedMillis;

    /**
     * Creates a policy for an entry that is not draining.
     *
     * @param clock source of the monotonic time
     * @param graceMillis time from the shutdown signal to the forced exit, in milliseconds
     */
    public DrainPolicy(MillisClock clock, long graceMillis) {
        this.clock = clock;
        this.graceMillis = graceMillis;
    }

    /**
     * Starts draining.
     *
     * @return false if draining had already been started; the start time is kept then
     */
    public boolean start() {
        if (draining) {
            return false;
        }
        draining = true;
        startedMillis = clock.monotonicMillis();
        return true;
    }

    /**
     * Returns whether the entry is draining.
     *
     * @return true after {@link #start()}
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Returns the time since draining was started.
     *
     * @return milliseconds, 0 if the entry is not draining
     */
    public long elapsedMillis() {
        return draining ? clock.monotonicMillis() - startedMillis : 0;
    }

    /**
     * Returns whether the entry accepts a new request: always while it is not draining, afterwards if the request can
     * usually be completed before the forced exit.
     *
     * @param kind kind of the request
     * @return false if the request is to be refused
     */
    public boolean accepts(RequestKind kind) {
        long needed = kind == RequestKind.STREAM ? STREAM_MILLIS : PLAIN_MILLIS;
        return !draining || (!acceptingStopped && elapsedMillis() + needed <= graceMillis - FORCED_EXIT_MARGIN_MILLIS);
    }

    /**
     * Refuses every request from now on, so that none is cut off by the exit. Called once {@link #mayStopAccepting}
     * returns true.
     */
    public void stopAccepting() {
        acceptingStopped = true;
    }

    /**
     * Returns whether the entry may stop accepting requests.
     *
     * @param openRequests number of requests without a complete response
     * @return true if no request is open and the minimum drain time has passed, or if the time until the forced exit is
     *     needed to end the connections of callers
     */
    public boolean mayStopAccepting(int openRequests) {
        boolean finished = openRequests == 0 && elapsedMillis() >= MINIMUM_DRAIN_MILLIS;
        return finished || millisUntilForcedExit() <= CONNECTION_END_MILLIS;
    }

    /**
     * Returns the time until the entry may exit whatever is open.
     *
     * @return milliseconds, 0 or less if it may exit now; {@link Long#MAX_VALUE} if the entry is not draining
     */
    public long millisUntilForcedExit() {
        return draining ? graceMillis - FORCED_EXIT_MARGIN_MILLIS - elapsedMillis() : Long.MAX_VALUE;
    }
}
