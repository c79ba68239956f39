package org.merlinwood.gateway.loop;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Runs tasks on the I/O thread that also serves the connections, so that state needs no locks. Thread-safe. */
public final class IoThreadLoop implements EventLoop {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final XnioIoThread thread;

    /**
     * Creates a loop on a thread.
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
        } catch (RejectedExecutionException ended) {
            logger.atFine().log("the event loop has ended; a task is dropped");
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
            logger.atSevere().withCause(exception).log("a task of the event loop failed");
        }
    }
}
