package org.merlinwood.standin.impl;

/** Interruptible sleep, used for delays that end when the stand-in is closed. Stateless. */
public final class Sleep {

    private Sleep() {}

    /**
     * Blocks the current thread.
     *
     * @param millis duration in milliseconds; returns at once if it is not positive
     * @throws InterruptedException if the thread is interrupted because the stand-in is being closed
     */
    public static void millis(long millis) throws InterruptedException {
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }
}
