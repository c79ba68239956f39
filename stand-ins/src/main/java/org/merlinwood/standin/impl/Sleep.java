package org.merlinwood.standin.impl;

/** Sleeping that ends its thread's work when interrupted. Stateless. */
public final class Sleep {

    private Sleep() {}

    /**
     * Sleeps.
     *
     * @param millis how long, in milliseconds; nothing happens where it is not positive
     * @throws InterruptedException if the stand-in is being closed
     */
    public static void millis(long millis) throws InterruptedException {
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }
}
