package org.merlinwood.gateway.upstream;

/**
 * Counts the bytes of the response bodies that an entry is collecting, over all requests to instances, and decides
 * which of them are too large together. Confined to the event loop.
 */
public final class CollectedBytes {

    /** Bytes of all bodies up to which any body may grow: a sixth of the smallest heap of an entry. */
    public static final long MAXIMUM_BYTES = 16 << 20;

    /** Size up to which a body is collected whatever the others have, in bytes. */
    public static final long ALWAYS_ALLOWED_BYTES = 256 << 10;

    private long bytes;

    /**
     * Counts bytes of a body.
     *
     * @param added number of bytes that were added
     * @param bodyBytes number of bytes that the body has with them
     * @return whether the body may be collected further
     */
    boolean add(int added, long bodyBytes) {
        bytes += added;
        return bytes <= MAXIMUM_BYTES || bodyBytes <= ALWAYS_ALLOWED_BYTES;
    }

    /** Removes the bytes of a body that isn't needed any more. */
    void remove(long bodyBytes) {
        bytes -= bodyBytes;
    }

    /** Returns the bytes of all bodies that are held. */
    public long heldBytes() {
        return bytes;
    }

    /**
     * Creates the body of one response.
     *
     * @return an empty body
     */
    public CollectedBody open() {
        return new CollectedBody(this);
    }
}
