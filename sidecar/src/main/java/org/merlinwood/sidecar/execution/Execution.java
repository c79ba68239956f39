package org.merlinwood.sidecar.execution;

import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;

/** The request of one attempt to the upstream. Thread-safe. */
public interface Execution {

    /**
     * Sends the request. Called once.
     *
     * @param onEnd called exactly once, on any thread, after the last part of the response was sent to the entry
     */
    void start(Consumer<ExecutionOutcome> onEnd);

    /**
     * Tells whether a part of the response exists, produced by the upstream or, for a resumed response, by another one
     * before.
     *
     * @return whether there is a part
     */
    boolean hasBegun();

    /** Cancels the request. Its end is still reported. */
    void cancel();

    /**
     * Aborts the request because the upstream has crashed.
     *
     * @param failure reported as the outcome
     */
    void abort(Failure failure);
}
