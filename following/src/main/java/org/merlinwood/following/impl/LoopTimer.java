package org.merlinwood.following.impl;

import org.merlinwood.operation.control.ControlLoop;

/**
 * Adapts a control loop to {@link ControlTimer}. Thread-safe.
 *
 * @param loop runs the tasks; not closed by this object
 */
public record LoopTimer(ControlLoop loop) implements ControlTimer {

    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // tasks are never cancelled; a stale task detects that itself
    public void schedule(long delayMillis, Runnable task) {
        loop.schedule(delayMillis, task);
    }
}
