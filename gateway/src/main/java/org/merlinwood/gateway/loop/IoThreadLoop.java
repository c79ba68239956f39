package org.merlinwood.gateway.loop;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Event loop on the I/O thread that also serves the connections, so that state that is used on it needs no locks.
 * Thread-safe. A runtime exception of a task is logged and does not end the loop.
 */
public final class IoThreadLoop implements EventLoop {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final XnioIoThread thread;

    /**
     * Creates an event loop on an I/O thread.
     *
     * @param thread the only I/O thread of its worker
     */
    public IoThreadLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    @Override
    public void execute(Runnable task) {
        try {
            thread.execute(() -> run(task));
        } catch (RejectedExecutionException exception) {
            logger.atFine().log("event loop has terminated; dropping a task");
        }
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        XnioExecutor.Key key = thread.executeAfter(() -> run(task), delayMillis, TimeUnit.MILLISECONDS);
        return key::remove;
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("event loop task failed with an exception");
        }
    }
}
