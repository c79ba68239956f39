package org.merlinwood.standin.engine.impl;

import java.util.concurrent.TimeUnit;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;

/** Network link with a limited rate that all transfers share. Thread-safe. */
public final class RateLimitedLink {

    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final MillisClock clock = SystemMillisClock.shared();
    private final double millisPerByte;
    private double freeAtMillis = clock.monotonicMillis();

    /**
     * Creates an idle link.
     *
     * @param bytesPerSecond rate in bytes per second, positive
     */
    public RateLimitedLink(long bytesPerSecond) {
        this.millisPerByte = MILLIS_PER_SECOND / bytesPerSecond;
    }

    /**
     * Blocks until the link has transferred a number of bytes, after all transfers that started before.
     *
     * @param bytes number of bytes
     * @throws InterruptedException if the engine is being closed
     */
    public void transfer(int bytes) throws InterruptedException {
        long waitNanos = Math.round(reserveMillis(bytes) * NANOS_PER_MILLI);
        if (waitNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(waitNanos);
        }
    }

    private synchronized double reserveMillis(int bytes) {
        double nowMillis = (double) clock.monotonicMillis();
        freeAtMillis = Math.max(freeAtMillis, nowMillis) + bytes * millisPerByte;
        return freeAtMillis - nowMillis;
    }
}
