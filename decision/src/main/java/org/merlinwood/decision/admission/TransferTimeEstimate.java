package org.merlinwood.decision.admission;

/**
 * Predicts the time from the end of a prefill to the first token from the transfers observed so far.
 *
 * <p>Models the time as a fixed part plus a part proportional to the size of the KV cache. Not thread-safe: used by one
 * control thread.
 */
public final class TransferTimeEstimate {

    private static final double FIXED_MILLIS = 40;
    private static final double DEFAULT_BYTES_PER_MILLI = 5_000_000;
    private static final double RATE_SMOOTHING_FACTOR = 0.1;
    private static final double MINIMUM_VARIABLE_MILLIS = 1;
    private static final long MINIMUM_SAMPLE_BYTES = 1_000_000;

    private double millisPerByte = 1 / DEFAULT_BYTES_PER_MILLI;

    /** Creates an estimate without observations; it assumes 5 MB per millisecond. */
    public TransferTimeEstimate() {}

    /**
     * Records a transfer that led to a first token. Transfers under 1 MB are ignored, since the fixed part dominates
     * their time.
     *
     * @param bytes size of the KV cache, in bytes
     * @param millis time from the end of the prefill to the first token, in milliseconds
     */
    public void observe(long bytes, long millis) {
        if (bytes < MINIMUM_SAMPLE_BYTES) {
            return;
        }
        double variableMillis = Math.max(MINIMUM_VARIABLE_MILLIS, millis - FIXED_MILLIS);
        millisPerByte += RATE_SMOOTHING_FACTOR * (variableMillis / bytes - millisPerByte);
    }

    /**
     * Predicts the time for a KV cache.
     *
     * @param bytes size of the KV cache, in bytes
     * @return time from the end of the prefill to the first token, in milliseconds
     */
    public long millis(long bytes) {
        return Math.round(FIXED_MILLIS + bytes * millisPerByte);
    }
}
