package org.merlinwood.standin.engine.impl;

import java.util.concurrent.TimeUnit;

/** A link whose rate all transfers share. Thread-safe. */
public final class RateLimitedLink {

    private final double nanosPerByte;
    private long freeAtNanos = System.nanoTime();

    /**
     * Creates an idle link.
     *
     * @param bytesPerSecond its rate, positive
     */
    public RateLimitedLink(long bytesPerSecond) {
        this.nanosPerByte = (double) TimeUnit.SECONDS.toNanos(1) / bytesPerSecond;
    }

    /**
     * Waits until a number of bytes has passed.
     *
     * @param bytes how many
     * @throws InterruptedException if the engine is being closed
     */
    public void pass(int bytes) throws InterruptedException {
        long waitNanos = reserve(bytes);
        if (waitNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(waitNanos);
        }
    }

    private synchronized long reserve(int bytes) {
        long now = System.nanoTime();
        freeAtNanos = Math.max(freeAtNanos, now) + (long) (bytes * nanosPerByte);
        return freeAtNanos - now;
    }
}
