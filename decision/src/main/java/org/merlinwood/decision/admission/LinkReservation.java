package org.merlinwood.decision.admission;

/**
 * Limits the KV cache transfers that are reserved on the network link of one instance, so that no cache waits for the
 * link longer than the prefill instance retains it.
 *
 * <p>To be reserved with each grant, and released when the transfer completes or the grant ends without one. The
 * transfer rate is an exponential moving average of the observed transfers. Exists as long as the instance. Not
 * thread-safe. Only the replay uses it: the sidecar process does not reserve links.
 */
public final class LinkReservation {

    private static final double RATE_SMOOTHING_FACTOR = 0.2;

    private final long maximumWaitMillis;
    private double millisPerByte;
    private long reservedBytes;

    /**
     * Creates the reservations of an idle link.
     *
     * @param maximumWaitMillis maximum time that a KV cache may wait for earlier reservations, in milliseconds
     * @param bytesPerMilli transfer rate assumed before the first observation, in bytes per millisecond
     */
    public LinkReservation(long maximumWaitMillis, double bytesPerMilli) {
        this.maximumWaitMillis = maximumWaitMillis;
        this.millisPerByte = 1 / bytesPerMilli;
    }

    /**
     * Returns whether another KV cache can be reserved now.
     *
     * @return true if the earlier reservations are predicted to complete within the maximum wait
     */
    public boolean hasCapacity() {
        return waitMillis() == 0;
    }

    /**
     * Reserves the link for a KV cache.
     *
     * @param bytes size of the KV cache, in bytes
     */
    public void reserve(long bytes) {
        reservedBytes += bytes;
    }

    /**
     * Releases a reservation, after the transfer or without one.
     *
     * @param bytes the value passed to {@link #reserve}
     */
    public void release(long bytes) {
        reservedBytes = Math.max(0, reservedBytes - bytes);
    }

    /**
     * Records a completed transfer, which updates the rate. Values that are not positive are ignored.
     *
     * @param bytes size of the KV cache, in bytes
     * @param millis duration of the transfer, in milliseconds
     */
    public void observe(long bytes, long millis) {
        if (bytes > 0 && millis > 0) {
            millisPerByte += RATE_SMOOTHING_FACTOR * ((double) millis / bytes - millisPerByte);
        }
    }

    /**
     * Predicts when another KV cache can be reserved.
     *
     * @return milliseconds from now; 0 if immediately
     */
    public long waitMillis() {
        return Math.max(0, Math.round(reservedBytes * millisPerByte) - maximumWaitMillis);
    }
}
