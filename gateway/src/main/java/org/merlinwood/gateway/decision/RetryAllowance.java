package org.merlinwood.gateway.decision;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.IntSupplier;
import org.merlinwood.core.time.MillisClock;

/**
 * This entry's share of the retries that all entries together may send to a service within a sliding window.
 *
 * <p>All entries together may send a fixed number of retries plus a fraction of the requests in the window. Each entry
 * uses that fraction of its own requests and an equal share of the fixed number, so the limit also holds when the
 * entries cannot reach each other. An entry does not know what it sent before a restart, so it gets no share of the
 * fixed number until a whole window has passed since its start. Confined to the event loop.
 */
public final class RetryAllowance {

    /** Fraction of the allowance that is used: others may count a request counted here in a different window. */
    private static final double USED_RATIO = 0.8;

    private final MillisClock clock;
    private final long windowMillis;
    private final double retryRatio;
    private final double fixedRetries;
    private final IntSupplier entryCount;
    private final long startedMillis;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates an allowance of an entry that is starting now.
     *
     * @param clock source of the monotonic time
     * @param windowMillis length of the sliding window, in milliseconds
     * @param retryRatio retries per request in the window, over all entries
     * @param fixedRetries retries in addition to those, over all entries
     * @param entryCount supplies the largest possible number of entries; called for each retry
     */
    public RetryAllowance(
            MillisClock clock, long windowMillis, double retryRatio, double fixedRetries, IntSupplier entryCount) {
        this.clock = clock;
        this.windowMillis = windowMillis;
        this.retryRatio = retryRatio;
        this.fixedRetries = fixedRetries;
        this.entryCount = entryCount;
        this.startedMillis = clock.monotonicMillis();
    }

    /**
     * Counts a request, which increases the allowance of its service.
     *
     * @param service name of the service
     */
    public void recordRequest(String service) {
        window(service).requests.addLast(clock.monotonicMillis());
    }

    /**
     * Consumes one retry of the allowance, if one is left.
     *
     * @param service name of the service
     * @return false if the allowance of the window is used up; nothing is consumed then
     */
    public boolean tryAcquire(String service) {
        return acquire(service).isPresent();
    }

    /**
     * Consumes one retry of the allowance, if one is left.
     *
     * @param service name of the service
     * @return the monotonic time to give to {@link #giveBack} if the retry is not sent, in milliseconds; empty if the
     *     allowance of the window is used up
     */
    OptionalLong acquire(String service) {
        Window window = window(service);
        if (window.retries.size() + 1 > allowedRetries(window)) {
            return OptionalLong.empty();
        }
        long acquiredMillis = clock.monotonicMillis();
        window.retries.addLast(acquiredMillis);
        return OptionalLong.of(acquiredMillis);
    }

    /**
     * Returns a retry that no instance has received. Does nothing if its window has passed.
     *
     * @param service name of the service
     * @param acquiredMillis result of {@link #acquire}
     */
    void giveBack(String service, long acquiredMillis) {
        window(service).retries.removeFirstOccurrence(acquiredMillis);
    }

    /**
     * Returns whether more retries were sent than allowed, which {@link #recordRetry} can cause.
     *
     * @param service name of the service
     * @return true if nothing should be sent that counts as a retry if an instance declines it
     */
    public boolean isOverdrawn(String service) {
        Window window = window(service);
        return window.retries.size() > allowedRetries(window);
    }

    /**
     * Consumes one retry that an instance has already received, even if none is left: a prefill that it declined, which
     * counts although the request has not been sent to any other instance.
     *
     * @param service name of the service
     */
    public void recordRetry(String service) {
        window(service).retries.addLast(clock.monotonicMillis());
    }

    private double allowedRetries(Window window) {
        return USED_RATIO * (retryRatio * window.requests.size() + fixedShare());
    }

    private double fixedShare() {
        boolean sentBeforeStartExpired = clock.monotonicMillis() - startedMillis >= windowMillis;
        return sentBeforeStartExpired ? fixedRetries / entryCount.getAsInt() : 0;
    }

    private Window window(String service) {
        Window window = windows.computeIfAbsent(service, ignored -> new Window());
        long oldest = clock.monotonicMillis() - windowMillis;
        removeBefore(window.requests, oldest);
        removeBefore(window.retries, oldest);
        return window;
    }

    private static void removeBefore(ArrayDeque<Long> times, long oldest) {
        while (!times.isEmpty() && times.peekFirst() < oldest) {
            times.removeFirst();
        }
    }

    private static final class Window {
        private final ArrayDeque<Long> requests = new ArrayDeque<>();
        private final ArrayDeque<Long> retries = new ArrayDeque<>();
    }
}
