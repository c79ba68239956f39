package org.merlinwood.core.result;

import java.util.Objects;

/**
 * The final failure of a request or exchange, as a value. Immutable.
 *
 * @param code the numbered result code, never {@link ResultCode#OK}
 * @param detail one sentence for the reader of a log or an answer; names no secret
 * @param executionState what is known about execution
 * @param retryAfterMillis when to come back, in milliseconds from now; {@link #NO_RETRY} where a retry is useless
 */
public record Failure(ResultCode code, String detail, ExecutionState executionState, long retryAfterMillis) {

    /** Marks a failure that a retry can't mend. */
    public static final long NO_RETRY = -1;

    /** Checks the parts. */
    public Failure {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(executionState, "executionState");
        if (code == ResultCode.OK) {
            throw new IllegalArgumentException("OK is not a failure");
        }
    }

    /**
     * Creates a failure that a retry can't mend.
     *
     * @param code the result code
     * @param detail one sentence
     * @return the failure, with the execution state of the code
     */
    public static Failure of(ResultCode code, String detail) {
        return new Failure(code, detail, code.executionState(), NO_RETRY);
    }

    /**
     * Creates a failure with a time to come back.
     *
     * @param code the result code
     * @param detail one sentence
     * @param retryAfterMillis milliseconds from now
     * @return the failure, with the execution state of the code
     */
    public static Failure retryable(ResultCode code, String detail, long retryAfterMillis) {
        return new Failure(code, detail, code.executionState(), retryAfterMillis);
    }

    /**
     * Returns this failure with another execution state.
     *
     * @param state what is known about execution
     * @return a copy
     */
    public Failure withExecutionState(ExecutionState state) {
        return new Failure(code, detail, state, retryAfterMillis);
    }
}
