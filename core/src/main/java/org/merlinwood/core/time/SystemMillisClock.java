package org.merlinwood.core.time;

import java.util.concurrent.TimeUnit;

/** The system clock. Stateless and thread-safe. */
public final class SystemMillisClock implements MillisClock {

    private static final SystemMillisClock SHARED = new SystemMillisClock();

    private SystemMillisClock() {}

    /**
     * Returns the shared instance.
     *
     * @return the system clock
     */
    public static SystemMillisClock shared() {
        return SHARED;
    }

    @Override
    public long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
