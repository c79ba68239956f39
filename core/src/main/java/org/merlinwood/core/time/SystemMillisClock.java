package org.merlinwood.core.time;

import java.util.concurrent.TimeUnit;

/** The clock of the machine. Stateless and thread-safe; shared by all users in a process. */
public final class SystemMillisClock implements MillisClock {

    private static final SystemMillisClock SHARED = new SystemMillisClock();

    private SystemMillisClock() {}

    /**
     * Returns the shared instance.
     *
     * @return the clock of this machine
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
