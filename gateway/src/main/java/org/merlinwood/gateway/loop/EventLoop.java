package org.merlinwood.gateway.loop;

/** Runs tasks one after another on a single thread. Its methods are thread-safe and never block. */
public interface EventLoop {

    /**
     * Queues a task to run on the thread of this loop.
     *
     * @param task the task
     */
    void execute(Runnable task);

    /**
     * Schedules a task to run once after a delay.
     *
     * @param delayMillis delay from now, in milliseconds
     * @param task the task
     * @return a timer that can cancel the task
     */
    Timer schedule(long delayMillis, Runnable task);

    /** A scheduled task. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task. Has no effect if the task has run. */
        void cancel();
    }
}
