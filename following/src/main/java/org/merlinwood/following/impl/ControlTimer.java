package org.merlinwood.following.impl;

/** Runs tasks in order on one control thread. Thread-safe. */
public interface ControlTimer {

    /**
     * Runs a task soon.
     *
     * @param task what to run
     */
    void execute(Runnable task);

    /**
     * Runs a task later.
     *
     * @param delayMillis milliseconds from now
     * @param task what to run
     */
    void schedule(long delayMillis, Runnable task);
}
