package org.merlinwood.sidecar.execution;

import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;

/** One call to the upstream. Thread-safe. */
public interface Execution {

    /**
     * Opens the call. Called once.
     *
     * @param onEnd called exactly once, on any thread, after the last part of the answer was sent
     */
    void start(Consumer<ExecutionOutcome> onEnd);

    /** Gives the call up. The end is still reported. */
    void cancel();

    /**
     * Gives the call up because its upstream has ended.
     *
     * @param failure reported as the end
     */
    void abort(Failure failure);
}
