package org.merlinwood.core.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that advances only through {@link #advanceMillis}, for tests and for replay in virtual time.
 *
 * <p>Monotonic and wall time advance together. Thread-safe.
 */
public final class ManualMillisClock implements MillisClock {

    private final AtomicLong nowMillis;

    /**
     * Creates a clock.
     *
     * @param startMillis initial time, in milliseconds
     */
    public ManualMillisClock(long startMillis) {
        this.nowMillis = new AtomicLong(startMillis);
    }

    /**
     * Advances the clock.
     *
     * @param millis time to add, in milliseconds; not negative
     * @throws IllegalArgumentException if {@code millis} is negative
     */
    public void advanceMillis(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("millis must not be negative: " + millis + " ms");
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
