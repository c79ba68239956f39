package org.merlinwood.sidecar.execution;

import java.util.List;
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpStream;

/**
 * Base class of all executions: sends one HTTP request, ends it early at most once, and reports its outcome once.
 *
 * <p>The listener methods run on one I/O thread; {@link #cancel()} may be called from any thread.
 */
abstract class HttpExecution implements Execution, HttpListener {

    private Consumer<ExecutionOutcome> onEnd;
    private Failure ownFailure;
    private boolean cancelled;
    private volatile boolean begun;
    private HttpStream stream;

    /** Sends the request, with this object as its listener. */
    abstract HttpStream open();

    /** Returns the outcome for a response that has ended without a transport failure. */
    abstract ExecutionOutcome onResponse();

    @Override
    public final void start(Consumer<ExecutionOutcome> listener) {
        onEnd = listener;
        HttpStream opened = open();
        boolean cancelEarly;
        synchronized (this) {
            stream = opened;
            cancelEarly = cancelled;
        }
        if (cancelEarly) {
            opened.cancel();
        }
    }

    @Override
    public final boolean hasBegun() {
        return begun;
    }

    /** Records that a part of the response exists. */
    final void markBegun() {
        begun = true;
    }

    @Override
    public final void cancel() {
        HttpStream opened;
        synchronized (this) {
            cancelled = true;
            opened = stream;
        }
        if (opened != null) {
            opened.cancel();
        }
    }

    @Override
    public final void abort(Failure failure) {
        giveUp(failure);
    }

    @Override
    public void onHead(int status, List<HttpHeader> headers) {}

    @Override
    public final void onEnd() {
        onEnd.accept(ownFailure() == null ? onResponse() : failedOutcome(ownFailure()));
    }

    @Override
    public final void onFailure(Failure failure) {
        Failure own = ownFailure();
        onEnd.accept(
                failedOutcome(own == null ? asTruncated(failure) : own.withExecutionState(failure.executionState())));
    }

    /** Ends the request early because of a malformed response, a timeout or a crash of the upstream. */
    final void giveUp(Failure failure) {
        synchronized (this) {
            if (ownFailure != null) {
                return;
            }
            ownFailure = failure;
        }
        cancel();
    }

    /** Returns the outcome of a failure. Memory may still be held unless the request was never sent. */
    ExecutionOutcome failedOutcome(Failure failure) {
        return new ExecutionOutcome.Failed(failure, failure.executionState() != ExecutionState.NOT_RUN);
    }

    private synchronized Failure ownFailure() {
        return ownFailure;
    }

    private static Failure asTruncated(Failure failure) {
        if (failure.code() != ResultCode.CONNECTION_LOST) {
            return failure;
        }
        return new Failure(
                ResultCode.UPSTREAM_TRUNCATED, failure.detail(), failure.executionState(), failure.retryAfterMillis());
    }
}
