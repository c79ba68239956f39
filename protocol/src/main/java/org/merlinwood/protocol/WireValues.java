package org.merlinwood.protocol;

import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.Execution;
import org.merlinwood.wire.Refused;
import org.merlinwood.wire.RequestIdentity;
import org.merlinwood.wire.RevisionPair;

/** Converts values between their types in the system and their messages. Stateless. */
public final class WireValues {

    private WireValues() {}

    /**
     * Converts revisions.
     *
     * @param revisions the revisions
     * @return the message
     */
    public static RevisionPair toWire(Revisions revisions) {
        return RevisionPair.newBuilder()
                .setInventory(revisions.inventory())
                .setRules(revisions.rules())
                .build();
    }

    /**
     * Converts revisions.
     *
     * @param pair the message
     * @return the revisions
     */
    public static Revisions fromWire(RevisionPair pair) {
        return new Revisions(pair.getInventory(), pair.getRules());
    }

    /**
     * Converts an identifier.
     *
     * @param request the request
     * @param attempt the attempt, from 1
     * @return the message
     */
    public static RequestIdentity toWire(RequestIdentifier request, int attempt) {
        return RequestIdentity.newBuilder()
                .setRequestHigh(request.high())
                .setRequestLow(request.low())
                .setAttempt(attempt)
                .build();
    }

    /**
     * Converts an identifier, without its attempt.
     *
     * @param identity the message
     * @return the request
     */
    public static RequestIdentifier fromWire(RequestIdentity identity) {
        return new RequestIdentifier(identity.getRequestHigh(), identity.getRequestLow());
    }

    /**
     * Converts an execution state.
     *
     * @param state the state
     * @return the message
     */
    public static Execution toWire(ExecutionState state) {
        return switch (state) {
            case NOT_RUN -> Execution.NOT_RUN;
            case UNKNOWN -> Execution.UNKNOWN;
            case RAN -> Execution.RAN;
        };
    }

    /**
     * Converts an execution state. What this release doesn't know counts as unknown.
     *
     * @param execution the message
     * @return the state
     */
    public static ExecutionState fromWire(Execution execution) {
        return switch (execution) {
            case NOT_RUN -> ExecutionState.NOT_RUN;
            case RAN -> ExecutionState.RAN;
            case UNKNOWN, EXECUTION_UNSPECIFIED, UNRECOGNIZED -> ExecutionState.UNKNOWN;
        };
    }

    /**
     * Converts a failure into a refusal.
     *
     * @param failure the failure
     * @return a builder, to which load and revisions may be added
     */
    public static Refused.Builder toRefused(Failure failure) {
        return Refused.newBuilder()
                .setCode(failure.code().number())
                .setDetail(failure.detail())
                .setExecution(toWire(failure.executionState()))
                .setRetryAfterMillis(failure.retryAfterMillis());
    }

    /**
     * Converts a refusal.
     *
     * @param refused the message
     * @return the failure
     */
    public static Failure fromWire(Refused refused) {
        return new Failure(
                failureCode(refused.getCode()),
                refused.getDetail(),
                fromWire(refused.getExecution()),
                refused.getRetryAfterMillis());
    }

    /**
     * Converts the failed end of an answer.
     *
     * @param end the message, with a code that is not {@link ResultCode#OK}
     * @return the failure
     */
    public static Failure fromWire(AnswerEnd end) {
        return new Failure(
                failureCode(end.getCode()), end.getDetail(), fromWire(end.getExecution()), end.getRetryAfterMillis());
    }

    private static ResultCode failureCode(int number) {
        return ResultCode.ofNumber(number).filter(code -> code != ResultCode.OK).orElse(ResultCode.PROTOCOL_VIOLATION);
    }
}
