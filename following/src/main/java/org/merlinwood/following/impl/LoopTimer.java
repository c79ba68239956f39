package org.merlinwood.following.impl;

import org.merlinwood.operation.control.ControlLoop;

/**
 * Timer on a control loop. Thread-safe.
 *
 * @param loop runs the tasks; not closed by this object
 */
public record LoopTimer(ControlLoop loop) implements ControlTimer {

    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // a task that is out of date checks so itself
    public void schedule(long delayMillis, Runnable task) {
        loop.schedule(delayMillis, task);
    }
}
