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

/** Converts values to and from protocol messages. Stateless. */
public final class WireValues {

    private WireValues() {}

    /**
     * Converts revisions to their message.
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
     * Converts revisions from their message.
     *
     * @param pair the message
     * @return the revisions
     */
    public static Revisions fromWire(RevisionPair pair) {
        return new Revisions(pair.getInventory(), pair.getRules());
    }

    /**
     * Converts a request identifier and an attempt number to their message.
     *
     * @param request the request identifier
     * @param attempt the attempt number, from 1
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
     * Converts a request identifier from its message; the attempt number is ignored.
     *
     * @param identity the message
     * @return the request identifier
     */
    public static RequestIdentifier fromWire(RequestIdentity identity) {
        return new RequestIdentifier(identity.getRequestHigh(), identity.getRequestLow());
    }

    /**
     * Converts an execution state to its message value.
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
     * Converts an execution state from its message value. Unspecified and unrecognized values become unknown.
     *
     * @param execution the message value
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
     * Converts a failure to a refusal message.
     *
     * @param failure the failure
     * @return a builder, to which the caller may add load and revisions
     */
    public static Refused.Builder toRefused(Failure failure) {
        return Refused.newBuilder()
                .setCode(failure.code().number())
                .setDetail(failure.detail())
                .setExecution(toWire(failure.executionState()))
                .setRetryAfterMillis(failure.retryAfterMillis());
    }

    /**
     * Converts a failure from a refusal message. An unknown code becomes a protocol violation.
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
     * Converts a failure from the message that ends a response. An unknown code becomes a protocol violation.
     *
     * @param end the message, with a code other than {@link ResultCode#OK}
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
