package org.merlinwood.decision.admission;

/**
 * Shares the link of one instance between the KV caches that were promised to it, so that none waits for the link
 * longer than its holder keeps it.
 *
 * <p>A sidecar reserves with each grant and releases when the transfer is done or the grant is given up. The rate is
 * learned from transfers. Lives as long as the sidecar; not thread-safe: used by its control thread only.
 */
public final class LinkReservation {

    private static final double GAIN = 0.2;

    private final long longestWaitMillis;
    private double millisPerByte;
    private long reservedBytes;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates a reservation for an idle link.
     *
     * @param longestWaitMillis how long a KV cache may wait for those promised before it, in milliseconds
     * @param bytesPerMilli the rate assumed before the first transfer, in bytes a millisecond
     */
    public LinkReservation(long longestWaitMillis, double bytesPerMilli) {
        this.longestWaitMillis = longestWaitMillis;
        this.millisPerByte = 1 / bytesPerMilli;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Tells whether another KV cache can be promised now.
     *
     * @return true if those promised before it are transferred soon enough
     */
    public boolean hasCapacity() {
        return waitMillis() == 0;
    }

    /**
     * Promises the link to a KV cache.
     *
     * @param bytes its size
     */
    public void reserve(long bytes) {
        reservedBytes += bytes;
    }

    /**
     * Gives a promise back, after the transfer or without one.
     *
     * @param bytes as given to {@link #reserve}
     */
    public void release(long bytes) {
        reservedBytes = Math.max(0, reservedBytes - bytes);
    }

    /**
     * Notes a transfer.
     *
     * @param bytes its size
     * @param millis how long it used the link, in milliseconds
     */
    public void observe(long bytes, long millis) {
        if (bytes > 0 && millis > 0) {
            millisPerByte += GAIN * ((double) millis / bytes - millisPerByte);
        }
    }

    /**
     * Predicts when another KV cache can be promised.
     *
     * @return milliseconds from now, 0 if at once
     */
    public long waitMillis() {
        return Math.max(0, Math.round(reservedBytes * millisPerByte) - longestWaitMillis);
    }
}
