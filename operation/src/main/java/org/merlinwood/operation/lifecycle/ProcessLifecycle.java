package org.merlinwood.operation.lifecycle;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.merlinwood.core.time.SystemMillisClock;

/**
 * Waits for a signal, then drains and ends the process.
 *
 * <p>The first SIGTERM or SIGINT drains; a second ends the process at once. Thread-safe.
 */
public final class ProcessLifecycle {

    /** Exit status after a graceful end. */
    public static final int EXIT_OK = 0;
    /** Exit status when settings, inventory or rules are wrong. */
    public static final int EXIT_INVALID_SETTINGS = 2;
    /** Exit status when an address could not be bound. */
    public static final int EXIT_ADDRESS_IN_USE = 3;
    /** Exit status after a second signal. */
    public static final int EXIT_FORCED = 4;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final CountDownLatch drainRequested = new CountDownLatch(1);
    private final AtomicInteger signals = new AtomicInteger();

    /** Installs the handlers of the signals. Called once, by the main thread. */
    public void installSignalHandlers() {
        ProcessSignals.onTermination(this::signalled);
    }

    /**
     * Installs a handler that is called for every SIGTERM and SIGINT, for processes that end by themselves once
     * drained.
     *
     * @param handler called on a thread of the JDK, each time
     */
    public static void onEachSignal(Runnable handler) {
        ProcessSignals.onTermination(handler);
    }

    /**
     * Installs a handler that is called for every SIGHUP, which would end the process otherwise.
     *
     * @param handler called on a thread of the JDK, each time
     */
    public static void onEachReload(Runnable handler) {
        ProcessSignals.onReload(handler);
    }

    /** Asks for a graceful shutdown, as a signal does. Idempotent. */
    public void requestDrain() {
        drainRequested.countDown();
    }

    /**
     * Waits until a shutdown is asked for, runs the drain, and returns.
     *
     * @param drain finishes what the process has; returns when that is done or its limit has passed
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public void runUntilDrained(Runnable drain) throws InterruptedException {
        drainRequested.await();
        long startMillis = SystemMillisClock.shared().monotonicMillis();
        logger.atInfo().log("draining");
        drain.run();
        logger.atInfo().log("drained after %d ms", SystemMillisClock.shared().monotonicMillis() - startMillis);
    }

    private void signalled() {
        if (signals.incrementAndGet() > 1) {
            logger.atWarning().log("a second signal ends the process at once");
            Runtime.getRuntime().halt(EXIT_FORCED);
        }
        requestDrain();
    }
}
