package org.merlinwood.core.time;

/**
 * Source of time in milliseconds.
 *
 * <p>Decisions use {@link #monotonicMillis()} alone, so that a step of the wall clock changes no promise. Instances are
 * thread-safe.
 */
public interface MillisClock {

    /**
     * Returns the milliseconds since an arbitrary fixed point of this process.
     *
     * @return milliseconds that never decrease within one process; values of two processes can't be compared
     */
    long monotonicMillis();

    /**
     * Returns the wall time, for logs and for keys that carry a time.
     *
     * @return milliseconds since 1970-01-01T00:00:00Z; may step backwards
     */
    long wallMillis();
}
