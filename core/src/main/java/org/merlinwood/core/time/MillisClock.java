package org.merlinwood.core.time;

/**
 * Source of time in milliseconds.
 *
 * <p>Decisions use {@link #monotonicMillis()} only, so that a step of the wall clock does not affect leases and
 * timeouts. Implementations are thread-safe.
 */
public interface MillisClock {

    /**
     * Returns the milliseconds since an arbitrary fixed origin.
     *
     * @return milliseconds that never decrease within a process; not comparable between processes
     */
    long monotonicMillis();

    /**
     * Returns the wall time, for logs and for keys that contain a time.
     *
     * @return milliseconds since 1970-01-01T00:00:00Z; may step backwards
     */
    long wallMillis();
}
