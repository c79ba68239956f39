package org.merlinwood.sidecar.admission;

import java.util.Optional;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;

/**
 * Whether the upstream can take work: closed until its old streams are gone, and while it does not accept connections.
 * Used by the control thread only.
 */
public final class UpstreamGate {

    private static final long UNREACHABLE_MILLIS = 500;
    private static final long NOT_READY_RETRY_MILLIS = 500;

    private final MillisClock clock;
    private boolean cleared;
    private boolean markReachable = true;
    private long unreachableUntilMillis;

    /**
     * Creates a gate.
     *
     * @param clock judges how long a failed connection counts
     * @param cleared true if the upstream keeps no streams, so that there is nothing to clear first
     */
    public UpstreamGate(MillisClock clock, boolean cleared) {
        this.clock = clock;
        this.cleared = cleared;
    }

    /** All streams of an earlier incarnation have ended. */
    public void markCleared() {
        cleared = true;
    }

    /** The upstream did not accept a connection just now. */
    public void markUnreachable() {
        markReachable = false;
        unreachableUntilMillis = clock.monotonicMillis() + UNREACHABLE_MILLIS;
    }

    /** The upstream answered just now. */
    public void markReachable() {
        markReachable = true;
    }

    /**
     * Tells whether the upstream has been cleared of old streams.
     *
     * @return true if so
     */
    public boolean isCleared() {
        return cleared;
    }

    /**
     * Judges whether work may be granted.
     *
     * @return why not, or empty
     */
    public Optional<Failure> refusal() {
        if (!cleared) {
            return Optional.of(Failure.retryable(
                    ResultCode.NOT_READY,
                    "the upstream may still run what an earlier process started",
                    NOT_READY_RETRY_MILLIS));
        }
        long left = unreachableUntilMillis - clock.monotonicMillis();
        if (markReachable || left <= 0) {
            return Optional.empty();
        }
        return Optional.of(
                Failure.retryable(ResultCode.UPSTREAM_UNREACHABLE, "the upstream accepts no connections", left)
                        .withExecutionState(ExecutionState.NOT_RUN));
    }
}
