package org.merlinwood.core.result;

import java.util.Objects;

/**
 * The final failure of a request or exchange. Immutable.
 *
 * @param code the result code, never {@link ResultCode#OK}
 * @param detail one sentence for logs and error responses; must not contain secrets
 * @param executionState whether the request ran, as far as is known
 * @param retryAfterMillis when to retry, in milliseconds from now; {@link #NO_RETRY} if a retry cannot succeed
 */
public record Failure(ResultCode code, String detail, ExecutionState executionState, long retryAfterMillis) {

    /** Value of {@link #retryAfterMillis()} for a failure that a retry cannot resolve. */
    public static final long NO_RETRY = -1;

    /** Rejects missing components and {@link ResultCode#OK}. */
    public Failure {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(executionState, "executionState");
        if (code == ResultCode.OK) {
            throw new IllegalArgumentException("OK is not a failure");
        }
    }

    /**
     * Creates a failure that a retry cannot resolve.
     *
     * @param code the result code
     * @param detail one sentence for logs and error responses
     * @return the failure, with the execution state of the code
     */
    public static Failure of(ResultCode code, String detail) {
        return new Failure(code, detail, code.executionState(), NO_RETRY);
    }

    /**
     * Creates a failure with a retry-after time.
     *
     * @param code the result code
     * @param detail one sentence for logs and error responses
     * @param retryAfterMillis milliseconds from now
     * @return the failure, with the execution state of the code
     */
    public static Failure retryable(ResultCode code, String detail, long retryAfterMillis) {
        return new Failure(code, detail, code.executionState(), retryAfterMillis);
    }

    /**
     * Returns this failure with another execution state.
     *
     * @param state whether the request ran, as far as is known
     * @return a copy
     */
    public Failure withExecutionState(ExecutionState state) {
        return new Failure(code, detail, state, retryAfterMillis);
    }
}
