package org.merlinwood.entry.machine;

import java.util.EnumSet;
import java.util.Set;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Combines the refusals of all attempts into the failure that is reported to the caller. Not thread-safe: used by one
 * state machine.
 */
final class RefusalSummary {

    /** Codes that every other instance would return as well. */
    private static final Set<ResultCode> FINAL_CODES = EnumSet.of(
            ResultCode.MALFORMED_REQUEST,
            ResultCode.BODY_TOO_LARGE,
            ResultCode.FRAME_TOO_LARGE,
            ResultCode.PROMPT_TOO_LONG,
            ResultCode.REQUEST_QUARANTINED);

    private static final Set<ResultCode> CAPACITY_CODES =
            EnumSet.of(ResultCode.NO_CAPACITY, ResultCode.DEADLINE_UNREACHABLE);

    private static final Set<ResultCode> CONNECTION_END_CODES =
            EnumSet.of(ResultCode.CONNECTION_LOST, ResultCode.PEER_SILENT);

    private final Placement placement;
    private ResultCode code = ResultCode.NO_INSTANCE;
    private String detail = "no instance is available";
    private long earliestRetryMillis = Long.MAX_VALUE;

    /** Creates a summary without refusals, which reports that no instance is available. */
    RefusalSummary(Placement placement) {
        this.placement = placement;
    }

    /** Returns whether every other instance would refuse the request as well, so that no retry helps. */
    static boolean isFinal(Failure failure) {
        return FINAL_CODES.contains(failure.code());
    }

    /** Returns whether an open connection ended, which does not mean that the process behind it has failed. */
    static boolean isConnectionEnd(Failure failure) {
        return CONNECTION_END_CODES.contains(failure.code());
    }

    /** Retains the most informative refusal: lack of capacity takes precedence, otherwise the latest refusal wins. */
    void add(Failure failure) {
        if (!CAPACITY_CODES.contains(code) || CAPACITY_CODES.contains(failure.code())) {
            code = failure.code();
            detail = failure.detail();
        }
        if (failure.retryAfterMillis() != Failure.NO_RETRY) {
            earliestRetryMillis = Math.min(earliestRetryMillis, failure.retryAfterMillis());
        }
    }

    /** Returns the failure of a request for which no instance or attempt is left. */
    Failure noInstanceLeft(ExecutionState execution) {
        return new Failure(code, detail, execution, retryAfterMillis());
    }

    /** Returns the failure of a request that needs another attempt after the retry budget is exhausted. */
    Failure retryBudgetExhausted(ExecutionState execution) {
        String message = "the retry budget is exhausted; the last attempt failed with " + code;
        return new Failure(ResultCode.RETRY_BUDGET_SPENT, message, execution, retryAfterMillis());
    }

    /** Adds a failure and returns it with the time after which the caller may retry. */
    Failure retryLater(Failure failure) {
        add(failure);
        return new Failure(failure.code(), failure.detail(), failure.executionState(), retryAfterMillis());
    }

    private long retryAfterMillis() {
        return placement.retryAfterMillis(earliestRetryMillis == Long.MAX_VALUE ? 0 : earliestRetryMillis);
    }
}
