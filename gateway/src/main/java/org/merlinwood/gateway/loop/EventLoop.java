package org.merlinwood.gateway.loop;

/** Runs tasks one after another on one thread. Its methods are thread-safe and never block. */
public interface EventLoop {

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
     * @return takes the task back
     */
    Timer schedule(long delayMillis, Runnable task);

    /** A task that waits for its time. */
    @FunctionalInterface
    interface Timer {
        /** Takes the task back; without effect if it has run. */
        void cancel();
    }
}
