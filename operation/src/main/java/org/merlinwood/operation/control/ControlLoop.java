package org.merlinwood.operation.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Single-threaded executor that owns the control state of a process: every task that reads or changes this state runs
 * here. Tasks passed to {@link #execute} run in the sequence of the calls. A runtime exception of an executed,
 * scheduled or repeated task is logged and does not affect later runs.
 *
 * <p>All methods are thread-safe and do not block. Tasks must be short and must not block.
 */
public final class ControlLoop implements AutoCloseable {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor executor;
    private volatile Thread thread;

    /**
     * Creates a control loop. Its daemon thread starts with the first task.
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

    /** Stops the thread with an interrupt; tasks that have not started are dropped. */
    @Override
    public void close() {
        executor.shutdownNow();
    }

    /**
     * Queues a task. After {@link #close} the task is dropped.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        try {
            executor.execute(logFailures(task));
        } catch (RejectedExecutionException exception) {
            logger.atFine().log("the control loop is closed; dropped a task");
        }
    }

    /**
     * Runs a task once after a delay.
     *
     * @param delayMillis delay in milliseconds
     * @param task the task
     * @return a future that cancels the task
     * @throws RejectedExecutionException if the loop is closed
     */
    public Future<?> schedule(long delayMillis, Runnable task) {
        return executor.schedule(logFailures(task), delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task periodically, for the first time after one period.
     *
     * @param periodMillis time between the end of one run and the start of the next, in milliseconds
     * @param task the task
     * @return a future that cancels further runs
     * @throws RejectedExecutionException if the loop is closed
     */
    public Future<?> repeat(long periodMillis, Runnable task) {
        return executor.scheduleWithFixedDelay(logFailures(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Computes a value on the thread of this loop.
     *
     * @param task computes the value
     * @param <T> type of the value
     * @return a future of the value; it fails with the exception of the task
     * @throws RejectedExecutionException if the loop is closed
     */
    public <T> CompletableFuture<T> call(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    /**
     * Returns whether the current thread is the thread of this loop.
     *
     * @return true if the current thread may access the control state
     */
    public boolean isCurrent() {
        return Thread.currentThread().equals(thread);
    }

    private static Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                logger.atSevere().withCause(exception).log("a control task failed");
            }
        };
    }
}
