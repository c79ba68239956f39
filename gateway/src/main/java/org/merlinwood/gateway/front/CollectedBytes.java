package org.merlinwood.gateway.front;

/**
 * Counts the bytes of the plain responses that an entry is collecting, over all requests, and decides which of them are
 * too large together. Used by the event loop alone.
 */
final class CollectedBytes {

    /** Bytes of all responses up to which any response may grow: a sixth of the smallest heap of an entry. */
    static final long MAXIMUM_BYTES = 16 << 20;

    /** Size up to which a response is collected whatever the others have, in bytes. */
    static final long ALWAYS_ALLOWED_BYTES = 256 << 10;

    private long bytes;

    /**
     * Counts bytes of a response.
     *
     * @param added number of bytes that were added
     * @param responseBytes number of bytes that the response has with them
     * @return whether the response may be collected further
     */
    boolean add(int added, long responseBytes) {
        bytes += added;
        return bytes <= MAXIMUM_BYTES || responseBytes <= ALWAYS_ALLOWED_BYTES;
    }

    /** Removes the bytes of a response that is complete or has failed. */
    void remove(long responseBytes) {
        bytes -= responseBytes;
    }
}
