package org.merlinwood.entry.machine;

import java.util.EnumSet;
import java.util.Set;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/** Turns the refusals that a request met into its final answer. Not thread-safe: belongs to one state machine. */
final class RefusalSummary {

    /** No other instance would answer otherwise. */
    private static final Set<ResultCode> FINAL = EnumSet.of(
            ResultCode.MALFORMED_REQUEST,
            ResultCode.BODY_TOO_LARGE,
            ResultCode.FRAME_TOO_LARGE,
            ResultCode.PROMPT_TOO_LONG,
            ResultCode.REQUEST_QUARANTINED);

    private static final Set<ResultCode> FULL = EnumSet.of(ResultCode.NO_CAPACITY, ResultCode.DEADLINE_UNREACHABLE);

    private static final Set<ResultCode> CONNECTION_END =
            EnumSet.of(ResultCode.CONNECTION_LOST, ResultCode.PEER_SILENT);

    private final Placement placement;
    private ResultCode code = ResultCode.NO_INSTANCE;
    private String detail = "no instance may be used now";
    private long soonestMillis = Long.MAX_VALUE;

    RefusalSummary(Placement placement) {
        this.placement = placement;
    }

    static boolean isFinal(Failure failure) {
        return FINAL.contains(failure.code());
    }

    /** Tells whether a connection that had been open ended, which says nothing about the process behind it. */
    static boolean isConnectionEnd(Failure failure) {
        return CONNECTION_END.contains(failure.code());
    }

    /** Keeps the refusal that tells the caller most: lack of capacity before anything else, later before earlier. */
    void add(Failure failure) {
        if (!FULL.contains(code) || FULL.contains(failure.code())) {
            code = failure.code();
            detail = failure.detail();
        }
        if (failure.retryAfterMillis() != Failure.NO_RETRY) {
            soonestMillis = Math.min(soonestMillis, failure.retryAfterMillis());
        }
    }

    Failure noInstanceLeft(ExecutionState execution) {
        return new Failure(code, detail, execution, retryAfterMillis());
    }

    Failure retryBudgetExhausted(ExecutionState execution) {
        String text = "the budget for repeated attempts is spent; the last attempt met " + code;
        return new Failure(ResultCode.RETRY_BUDGET_SPENT, text, execution, retryAfterMillis());
    }

    Failure retryLater(Failure failure) {
        add(failure);
        return new Failure(failure.code(), failure.detail(), failure.executionState(), retryAfterMillis());
    }

    private long retryAfterMillis() {
        return placement.retryAfterMillis(soonestMillis == Long.MAX_VALUE ? 0 : soonestMillis);
    }
}
