package org.merlinwood.gateway.front;

/**
 * The number of callers' connections that an entry accepts, from the descriptors of its process and from its heap.
 * Stateless.
 */
public final class ConnectionBound {

    /** Share of the descriptors that is reserved for upstreams, peers and the store. */
    private static final double RESERVED_SHARE = 0.15;

    /** Descriptors that are reserved at least: upstream connections of a small entry, its peers and the store. */
    private static final long RESERVED_AT_LEAST = 64;

    /** Heap that an idle connection may cost, in bytes: several times what it does. */
    private static final long HEAP_BYTES_PER_CONNECTION = 24 << 10;

    /** Connections that an entry accepts whatever its limits say. */
    private static final long MINIMUM = 16;

    private ConnectionBound() {}

    /**
     * Returns the maximum number of connections.
     *
     * @param descriptors descriptors that the process may have, or a negative number if that is not known
     * @param openDescriptors descriptors that it had open when it started
     * @param heapBytes maximum size of its heap, in bytes
     * @return the number, at least 1
     */
    public static int of(long descriptors, long openDescriptors, long heapBytes) {
        long byHeap = heapBytes / HEAP_BYTES_PER_CONNECTION;
        long reserved = Math.max(RESERVED_AT_LEAST, Math.round(descriptors * RESERVED_SHARE));
        long byDescriptors = descriptors < 0 ? Long.MAX_VALUE : descriptors - openDescriptors - reserved;
        return Math.toIntExact(Math.max(MINIMUM, Math.min(byHeap, byDescriptors)));
    }
}
