package org.merlinwood.sidecar.admission;

import java.util.Optional;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;

/**
 * Blocks grants while the upstream can't accept work: until the streams of an earlier incarnation have ended, and for a
 * short time after a connection attempt failed. Used by the control thread only.
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
     * @param clock measures how long the upstream counts as unreachable
     * @param cleared whether the upstream is already free of streams of earlier incarnations
     */
    public UpstreamGate(MillisClock clock, boolean cleared) {
        this.clock = clock;
        this.cleared = cleared;
    }

    /** Records that all streams of earlier incarnations have ended. */
    public void markCleared() {
        cleared = true;
    }

    /** Records that the upstream did not accept a connection. It counts as unreachable for a limited time. */
    public void markUnreachable() {
        markReachable = false;
        unreachableUntilMillis = clock.monotonicMillis() + UNREACHABLE_MILLIS;
    }

    /** Records that the upstream has responded. */
    public void markReachable() {
        markReachable = true;
    }

    /**
     * Tells whether all streams of earlier incarnations have ended.
     *
     * @return whether the upstream is free of old streams
     */
    public boolean isCleared() {
        return cleared;
    }

    /**
     * Returns the reason why no grant may be issued now.
     *
     * @return the failure, or empty if grants may be issued
     */
    public Optional<Failure> refusal() {
        if (!cleared) {
            return Optional.of(Failure.retryable(
                    ResultCode.NOT_READY,
                    "the upstream may still run requests of an earlier sidecar process",
                    NOT_READY_RETRY_MILLIS));
        }
        long remainingMillis = unreachableUntilMillis - clock.monotonicMillis();
        if (markReachable || remainingMillis <= 0) {
            return Optional.empty();
        }
        return Optional.of(Failure.retryable(
                        ResultCode.UPSTREAM_UNREACHABLE, "the upstream does not accept connections", remainingMillis)
                .withExecutionState(ExecutionState.NOT_RUN));
    }
}
