package org.merlinwood.decision.admission;

/**
 * Predicts how long a KV cache takes from the end of its prefill to the first token, from transfers seen so far.
 *
 * <p>Takes the time as a fixed part and a part in proportion to the bytes. Not thread-safe: used by one control thread.
 */
public final class TransferTimeEstimate {

    private static final double FIXED_MILLIS = 40;
    private static final double DEFAULT_BYTES_PER_MILLI = 5_000_000;
    private static final double GAIN = 0.1;
    private static final double LEAST_VARIABLE_MILLIS = 1;
    private static final long SMALLEST_TELLING_BYTES = 1_000_000;

    private double millisPerByte = 1 / DEFAULT_BYTES_PER_MILLI;

    /**
     * Notes a transfer that led to a first token. One that is too small to tell the rate of the link is ignored.
     *
     * @param bytes size of the KV cache, in bytes
     * @param millis from the end of the prefill to the first token, in milliseconds
     */
    public void observe(long bytes, long millis) {
        if (bytes < SMALLEST_TELLING_BYTES) {
            return;
        }
        double variableMillis = Math.max(LEAST_VARIABLE_MILLIS, millis - FIXED_MILLIS);
        millisPerByte += GAIN * (variableMillis / bytes - millisPerByte);
    }

    /**
     * Predicts a transfer.
     *
     * @param bytes size of the KV cache, in bytes
     * @return milliseconds from the end of the prefill to the first token
     */
    public long millis(long bytes) {
        return Math.round(FIXED_MILLIS + bytes * millisPerByte);
    }
}
