package org.merlinwood.gateway.decision;

import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.route.RequestKind;

/**
 * Decides which requests an entry that was told to end still takes, and when it ends.
 *
 * <p>Used by the event loop alone. A request that could not be finished before the forced end is refused, so that its
 * caller turns to another entry at once.
 */
public final class DrainPolicy {

    /** How long an entry stays at least, in milliseconds: the platform's two questions, and requests on their way. */
    private static final long LEAST_STAY_MILLIS = 2_500;

    /** Time before the forced end at which the entry ends by itself, in milliseconds. */
    private static final long END_MARGIN_MILLIS = 300;

    /** Longest time that a streamed answer usually takes, in milliseconds. */
    private static final long STREAM_MILLIS = 6_500;

    /** Longest time that a plain answer usually takes, in milliseconds. */
    private static final long PLAIN_MILLIS = 2_000;

    private final MillisClock clock;
    private final long graceMillis;
    private boolean draining;
    private boolean closed;
    private long sinceMillis;

    /**
     * Creates the decision for an entry that stays.
     *
     * @param clock the time
     * @param graceMillis time from the signal to the forced end, in milliseconds
     */
    public DrainPolicy(MillisClock clock, long graceMillis) {
        this.clock = clock;
        this.graceMillis = graceMillis;
    }

    /**
     * Notes that the entry was told to end.
     *
     * @return false if it was told before
     */
    public boolean start() {
        if (draining) {
            return false;
        }
        draining = true;
        sinceMillis = clock.monotonicMillis();
        return true;
    }

    /**
     * Tells whether the entry is about to end.
     *
     * @return true behind {@link #start()}
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Returns the time since the entry was told to end.
     *
     * @return milliseconds, 0 for an entry that stays
     */
    public long elapsedMillis() {
        return draining ? clock.monotonicMillis() - sinceMillis : 0;
    }

    /**
     * Tells whether a new request can be finished.
     *
     * @param kind its kind
     * @return false if it is to be refused
     */
    public boolean accepts(RequestKind kind) {
        long needed = kind == RequestKind.STREAM ? STREAM_MILLIS : PLAIN_MILLIS;
        return !draining || (!closed && elapsedMillis() + needed <= graceMillis - END_MARGIN_MILLIS);
    }

    /** Notes that nothing is open: from now on every request is refused, so that none is cut by the end. */
    public void stopAccepting() {
        closed = true;
    }

    /**
     * Tells whether the entry may take no more requests.
     *
     * @param openRequests requests that are not answered yet
     * @return true once nothing is open, or the forced end is near
     */
    public boolean mayStopAccepting(int openRequests) {
        boolean finished = openRequests == 0 && elapsedMillis() >= LEAST_STAY_MILLIS;
        return finished || endIsNear();
    }

    /**
     * Tells whether the process may end, a moment after {@link #stopAccepting()}.
     *
     * @param openRequests requests that are not answered yet
     * @return true once nothing is open, or the forced end is near
     */
    public boolean mayExit(int openRequests) {
        return openRequests == 0 || endIsNear();
    }

    private boolean endIsNear() {
        return elapsedMillis() >= graceMillis - END_MARGIN_MILLIS;
    }
}
