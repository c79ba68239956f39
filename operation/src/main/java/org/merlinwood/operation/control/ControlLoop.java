package org.merlinwood.operation.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Runs everything that touches control state, in order, on one thread.
 *
 * <p>Its methods are thread-safe and never block. Tasks must be short and must not wait.
 */
public final class ControlLoop implements AutoCloseable {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor executor;
    private volatile Thread thread;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts the thread.
     *
     * @param name name of the thread
     */
    public ControlLoop(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread created = new Thread(task, name);
            created.setDaemon(true);
            thread = created;
            return created;
        });
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Ends the thread; tasks that have not begun are dropped. */
    @Override
    public void close() {
        executor.shutdownNow();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Runs a task soon.
     *
     * @param task what to run
     */
    public void execute(Runnable task) {
        try {
            executor.execute(guarded(task));
        } catch (RejectedExecutionException closed) {
            logger.atFine().log("the control loop is closed; a task is dropped");
        }
    }

    /**
     * Runs a task later.
     *
     * @param delayMillis milliseconds from now
     * @param task what to run
     * @return cancels the task
     */
    public Future<?> schedule(long delayMillis, Runnable task) {
        return executor.schedule(guarded(task), delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task again and again.
     *
     * @param periodMillis milliseconds between the end of one run and the start of the next
     * @param task what to run
     * @return ends the repetition
     */
    public Future<?> repeat(long periodMillis, Runnable task) {
        return executor.scheduleWithFixedDelay(guarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Computes a value on the thread.
     *
     * @param task computes it
     * @param <T> type of the value
     * @return completed with the value, or exceptionally
     */
    public <T> CompletableFuture<T> call(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    /**
     * Tells whether the caller is on the thread.
     *
     * @return true if so
     */
    public boolean isCurrent() {
        return Thread.currentThread().equals(thread);
    }

    // ------------------------------------------------------------------ internals

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                logger.atSevere().withCause(exception).log("a control task failed");
            }
        };
    }
}
