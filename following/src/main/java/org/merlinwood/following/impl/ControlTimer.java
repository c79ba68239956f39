package org.merlinwood.following.impl;

/** Runs tasks one at a time on one control thread. Thread-safe. */
public interface ControlTimer {

    /**
     * Runs a task as soon as possible, after the tasks that were submitted before.
     *
     * @param task the task; must not block
     */
    void execute(Runnable task);

    /**
     * Runs a task after a delay.
     *
     * @param delayMillis delay in milliseconds, 0 or more
     * @param task the task; must not block
     */
    void schedule(long delayMillis, Runnable task);
}
