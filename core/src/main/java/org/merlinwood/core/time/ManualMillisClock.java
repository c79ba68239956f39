package org.merlinwood.core.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that moves only when told to, for tests and for replay in virtual time.
 *
 * <p>Monotonic and wall time advance together. Thread-safe.
 */
public final class ManualMillisClock implements MillisClock {

    private final AtomicLong nowMillis;

    /**
     * Creates a clock that stands still.
     *
     * @param startMillis the first reading, in milliseconds
     */
    public ManualMillisClock(long startMillis) {
        this.nowMillis = new AtomicLong(startMillis);
    }

    /**
     * Moves the clock forward.
     *
     * @param millis how far, in milliseconds; not negative
     * @throws IllegalArgumentException if {@code millis} is negative
     */
    public void advanceMillis(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("a clock can't move backwards: " + millis + " ms");
        }
        nowMillis.addAndGet(millis);
    }

    @Override
    public long monotonicMillis() {
        return nowMillis.get();
    }

    @Override
    public long wallMillis() {
        return nowMillis.get();
    }
}
