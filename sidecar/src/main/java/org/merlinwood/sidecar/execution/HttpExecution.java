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
 * The part of an execution that all kinds share: one HTTP call, at most one early end of it, one report.
 *
 * <p>The methods of the listener run on one I/O thread; {@link #cancel()} may come from any thread.
 */
abstract class HttpExecution implements Execution, HttpListener {

    private Consumer<ExecutionOutcome> onEnd;
    private Failure ownFailure;
    private boolean cancelled;
    private HttpStream stream;

    /** Opens the call; this object is its listener. */
    abstract HttpStream open();

    /** Judges the answer once it has ended. */
    abstract ExecutionOutcome onResponse();

    // ------------------------------------------------------------------ public API

    @Override
    public final void start(Consumer<ExecutionOutcome> listener) {
        onEnd = listener;
        HttpStream opened = open();
        boolean late;
        synchronized (this) {
            stream = opened;
            late = cancelled;
        }
        if (late) {
            opened.cancel();
        }
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
        onEnd.accept(ownFailure() == null ? onResponse() : failed(ownFailure()));
    }

    @Override
    public final void onFailure(Failure failure) {
        Failure own = ownFailure();
        onEnd.accept(failed(own == null ? named(failure) : own.withExecutionState(failure.executionState())));
    }

    // ------------------------------------------------------------------ internals

    /** Ends the call early because of what the upstream sent or did not send. */
    final void giveUp(Failure failure) {
        synchronized (this) {
            if (ownFailure != null) {
                return;
            }
            ownFailure = failure;
        }
        cancel();
    }

    /** A failure leaves memory held unless the call never left this process. */
    ExecutionOutcome failed(Failure failure) {
        return new ExecutionOutcome.Failed(failure, failure.executionState() != ExecutionState.NOT_RUN);
    }

    private synchronized Failure ownFailure() {
        return ownFailure;
    }

    private static Failure named(Failure failure) {
        if (failure.code() != ResultCode.CONNECTION_LOST) {
            return failure;
        }
        return new Failure(
                ResultCode.UPSTREAM_TRUNCATED, failure.detail(), failure.executionState(), failure.retryAfterMillis());
    }
}
