package org.merlinwood.operation.lifecycle;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.merlinwood.core.time.SystemMillisClock;

/**
 * Coordinates the graceful shutdown of a process.
 *
 * <p>The first SIGTERM or SIGINT requests a drain; a second one halts the process immediately with status
 * {@link #EXIT_FORCED}. Thread-safe.
 */
public final class ProcessLifecycle {

    /** Exit status after a graceful shutdown. */
    public static final int EXIT_OK = 0;
    /** Exit status if settings, inventory or rules are invalid. */
    public static final int EXIT_INVALID_SETTINGS = 2;
    /** Exit status if an address could not be bound. */
    public static final int EXIT_ADDRESS_IN_USE = 3;
    /** Exit status after a second signal. */
    public static final int EXIT_FORCED = 4;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final CountDownLatch drainRequested = new CountDownLatch(1);
    private final AtomicInteger signals = new AtomicInteger();

    /** Installs the handlers of SIGTERM and SIGINT. Called once, on the main thread. */
    public void installSignalHandlers() {
        ProcessSignals.onTermination(this::onTerminationSignal);
    }

    /**
     * Installs a handler of SIGTERM and SIGINT, for processes that exit by themselves after a drain.
     *
     * @param handler called for each signal, on a thread of the JDK
     */
    public static void onEachSignal(Runnable handler) {
        ProcessSignals.onTermination(handler);
    }

    /**
     * Installs a handler of SIGHUP. Without a handler this signal ends the process.
     *
     * @param handler called for each signal, on a thread of the JDK
     * @return false if the signal was ignored when the process was started, as {@code nohup} does: it stays ignored
     */
    public static boolean onEachReload(Runnable handler) {
        return ProcessSignals.onReload(handler);
    }

    /** Requests a graceful shutdown, like the first signal. Idempotent. */
    public void requestDrain() {
        drainRequested.countDown();
    }

    /**
     * Blocks until a shutdown is requested, then runs the drain.
     *
     * @param drain completes the current work; returns when the work is complete or the time limit is reached
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public void runUntilDrained(Runnable drain) throws InterruptedException {
        drainRequested.await();
        long startMillis = SystemMillisClock.shared().monotonicMillis();
        logger.atInfo().log("draining");
        drain.run();
        logger.atInfo().log("drained after %d ms", SystemMillisClock.shared().monotonicMillis() - startMillis);
    }

    private void onTerminationSignal() {
        if (signals.incrementAndGet() > 1) {
            logger.atWarning().log("received a second termination signal; halting without waiting for the drain");
            Runtime.getRuntime().halt(EXIT_FORCED);
        }
        requestDrain();
    }
}
