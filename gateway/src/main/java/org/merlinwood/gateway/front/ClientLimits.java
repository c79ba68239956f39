package org.merlinwood.gateway.front;

import java.util.function.LongSupplier;
import org.merlinwood.http.HeldBytes;

/**
 * What callers may make an entry hold, and for how long. The timeouts are far longer than those of the configuration,
 * so that slow callers are served in calm conditions; when memory is short, connections that have stopped end earlier.
 *
 * @param heldBytes the account of all connections
 * @param maximumHeadBytes returns the maximum size of a request head, in bytes
 * @param maximumBodyBytes returns the maximum size of a request body, in bytes
 */
public record ClientLimits(HeldBytes heldBytes, LongSupplier maximumHeadBytes, LongSupplier maximumBodyBytes) {

    /** Maximum time for a head, in milliseconds: 16 KiB at 1 KB/s, and nearly as much again. */
    static final long HEAD_TIMEOUT_MILLIS = 30_000;

    /** Maximum time between two bytes of a body, in milliseconds: twice the idle timeout that callers know. */
    static final long BODY_STALL_TIMEOUT_MILLIS = 30_000;

    /** Maximum time in which a caller takes no byte of its response, in milliseconds. */
    static final long UNREAD_TIMEOUT_MILLIS = 60_000;

    /**
     * Maximum number of bytes that are not body between two bytes of body, and behind the last one: the size of a chunk
     * with its extensions, or the trailers.
     */
    static final long MAXIMUM_OVERHEAD_BYTES = 64 << 10;

    /**
     * Time for which a request waits for room before it may be refused, in milliseconds. With 1.5 s, callers gave up
     * while their requests waited.
     */
    static final long MAXIMUM_WAIT_MILLIS = 400;

    /** Requests that wait for room at the same time; each one costs some kilobytes beside its bytes. */
    static final int MAXIMUM_WAITING = 256;

    /** Time for which a refused caller may read its refusal while it still sends, in milliseconds. */
    static final long LINGER_MILLIS = 2_000;

    /** Retry delay of a request that is refused because the entry holds too much, in milliseconds. */
    static final long RETRY_MILLIS = 500;

    /**
     * Returns whether a body may be read, or wait to be read.
     *
     * @param declaredBytes length that the head declares, in bytes; negative if it declares none
     */
    boolean mayRead(long declaredBytes) {
        boolean small = declaredBytes >= 0 && declaredBytes <= HeldBytes.SMALL_BYTES;
        return small || heldBytes.waitingCount() < MAXIMUM_WAITING;
    }
}
