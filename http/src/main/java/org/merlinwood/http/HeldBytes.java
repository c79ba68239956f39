package org.merlinwood.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.merlinwood.core.time.MillisClock;

/**
 * Account of the bytes that a process holds for its connections: heads and bodies that are being read, bodies of
 * requests in progress, and responses that are not read yet. Thread-safe.
 *
 * <p>There is a limit for all connections together. A connection that holds little may use a reserve beyond it, so that
 * small requests are served while large ones wait. Connections that have waited for room longest get it first.
 */
public final class HeldBytes {

    /** Bytes up to which a connection may use the reserve. More than the head and body of an ordinary plain request. */
    public static final long SMALL_BYTES = 64 << 10;

    /** Share of the heap that all connections may hold: five bodies of 4 MiB and a half in a heap of 64 MB. */
    private static final double LIMIT_SHARE = 0.36;

    /** Share of the heap for connections that hold little, beyond the limit. */
    private static final double RESERVE_SHARE = 0.06;

    /** Time without progress after which a connection counts as stalled. Sound slow clients move bytes each second. */
    private static final long STALL_MILLIS = 2_000;

    private final MillisClock clock;
    private final long limitBytes;
    private final long reserveBytes;
    private final TreeMap<Long, Holder> holders = new TreeMap<>();
    private final TreeMap<Long, Holder> waiters = new TreeMap<>();
    private long heldBytes;
    private long lastSequence;

    /**
     * Creates an empty account.
     *
     * @param limitBytes bytes that all connections together may hold, at least 1
     * @param reserveBytes bytes beyond the limit for connections that hold at most {@link #SMALL_BYTES}, at least 0
     * @param clock measures how long a connection has made no progress
     */
    public HeldBytes(long limitBytes, long reserveBytes, MillisClock clock) {
        this.limitBytes = limitBytes;
        this.reserveBytes = reserveBytes;
        this.clock = clock;
    }

    /**
     * Creates an empty account whose limits fit a heap.
     *
     * @param heapBytes maximum size of the heap, in bytes
     * @param clock measures how long a connection has made no progress
     * @return the account
     */
    public static HeldBytes ofHeap(long heapBytes, MillisClock clock) {
        return new HeldBytes(Math.round(heapBytes * LIMIT_SHARE), Math.round(heapBytes * RESERVE_SHARE), clock);
    }

    /**
     * Opens the part of a connection.
     *
     * @param evict called to end what the connection is doing if its bytes are needed; not under a lock, on the thread
     *     that calls {@link #evictStalled} or {@link #evictWaiting}. The part is closed behind it
     * @return the part, which holds nothing
     */
    public synchronized Holder open(Runnable evict) {
        lastSequence++;
        Holder holder = new Holder(lastSequence, evict);
        holders.put(lastSequence, holder);
        return holder;
    }

    /** Returns the bytes held by all connections. */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /** Returns the bytes that all connections together may hold, without the reserve. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns the number of connections that wait for room. */
    public synchronized int waitingCount() {
        return waiters.size();
    }

    /**
     * Evicts the connection that holds most for longest, among those that have stopped by themselves: neither do they
     * wait for room nor for a response.
     *
     * @return whether there was one
     */
    public boolean evictStalled() {
        Optional<Holder> victim = stalled();
        victim.ifPresent(Holder::evict);
        return victim.isPresent();
    }

    /**
     * Evicts the connection that was the last to begin, among those that have waited for room for some time. Those that
     * began before it get its bytes, so that not all wait for each other.
     *
     * @param waitMillis minimum time, in milliseconds
     * @return whether there was one
     */
    public boolean evictWaiting(long waitMillis) {
        Optional<Holder> victim = lastWaiting(waitMillis);
        victim.ifPresent(Holder::evict);
        return victim.isPresent();
    }

    private synchronized Optional<Holder> stalled() {
        long nowMillis = clock.monotonicMillis();
        return holders.values().stream()
                .filter(holder -> holder.evictable && holder.resume.isEmpty() && holder.bytes > 0)
                .filter(holder -> holder.idleMillis(nowMillis) >= STALL_MILLIS)
                .max(Comparator.comparingDouble(holder -> (double) holder.bytes * holder.idleMillis(nowMillis)));
    }

    private synchronized Optional<Holder> lastWaiting(long waitMillis) {
        long nowMillis = clock.monotonicMillis();
        return waiters.descendingMap().values().stream()
                .filter(holder -> holder.idleMillis(nowMillis) >= waitMillis)
                .findFirst();
    }

    /** Takes the connections out of the queue that have room now, those that began first at the front. */
    private synchronized List<Runnable> takeWaiting() {
        List<Runnable> resumed = new ArrayList<>();
        long freeBytes = limitBytes - heldBytes;
        while (!waiters.isEmpty() && freeBytes > 0) {
            Holder holder = waiters.pollFirstEntry().getValue();
            freeBytes -= SMALL_BYTES;
            resumed.add(holder.resume.orElseThrow());
            holder.resume = Optional.empty();
        }
        return resumed;
    }

    private void resumeWaiting() {
        takeWaiting().forEach(Runnable::run);
    }

    private synchronized boolean tryAdd(Holder holder, long bytes, boolean mayUseReserve) {
        if (!holder.isOpen()) {
            return false;
        }
        boolean small = mayUseReserve || holder.bytes + bytes <= SMALL_BYTES;
        boolean isBehindWaiting = !waiters.isEmpty() && waiters.firstKey() < holder.sequence;
        boolean hasRoom = small
                ? heldBytes + bytes <= limitBytes + reserveBytes
                : !isBehindWaiting && heldBytes + bytes <= limitBytes;
        if (hasRoom) {
            holder.bytes += bytes;
            heldBytes += bytes;
        }
        return hasRoom;
    }

    private synchronized void subtract(Holder holder, long bytes) {
        long subtracted = Math.min(bytes, holder.bytes);
        holder.bytes -= subtracted;
        heldBytes -= subtracted;
    }

    private synchronized void remove(Holder holder) {
        subtract(holder, holder.bytes);
        holders.remove(holder.sequence);
        waiters.remove(holder.sequence);
        holder.resume = Optional.empty();
    }

    private synchronized void await(Holder holder, Runnable resume) {
        if (holder.isOpen()) {
            holder.resume = Optional.of(resume);
            holder.progressMillis = clock.monotonicMillis();
            waiters.put(holder.sequence, holder);
        }
    }

    /** The part of one connection. Thread-safe. */
    public final class Holder implements AutoCloseable {

        private final long sequence;
        private final Runnable evict;
        private Optional<Runnable> resume = Optional.empty();
        private long progressMillis = clock.monotonicMillis();
        private long bytes;
        private boolean evictable;

        private Holder(long sequence, Runnable evict) {
            this.sequence = sequence;
            this.evict = evict;
        }

        /**
         * Adds bytes if there is room for them.
         *
         * @param added number of bytes, at least 0
         * @return false if there is no room or the part is closed; nothing is added then
         */
        public boolean tryAdd(long added) {
            return HeldBytes.this.tryAdd(this, added, false);
        }

        /**
         * Adds bytes of a response if there is room for them, in the reserve too. If there is none, connections that
         * have stopped are evicted, and then requests that wait for room: a response that is under way goes before
         * requests that have not begun.
         *
         * @param added number of bytes, at least 0
         * @return false if there is no room or the part is closed; nothing is added then
         */
        public boolean tryAddResponse(long added) {
            boolean isAdded = HeldBytes.this.tryAdd(this, added, true);
            while (!isAdded && (evictStalled() || evictWaiting(0))) {
                isAdded = HeldBytes.this.tryAdd(this, added, true);
            }
            return isAdded;
        }

        /**
         * Gives bytes back, and resumes connections that wait for room.
         *
         * @param removed number of bytes; what the connection does not hold is ignored
         */
        public void remove(long removed) {
            if (removed > 0) {
                subtract(this, removed);
                resumeWaiting();
            }
        }

        /**
         * Waits for room. The connection must not read until it is resumed.
         *
         * @param resumed called once when there may be room, on the thread that gives bytes back; not if the part is
         *     closed before
         */
        public void awaitRoom(Runnable resumed) {
            await(this, resumed);
        }

        /** Records that bytes were moved over the connection. */
        public void recordProgress() {
            synchronized (HeldBytes.this) {
                progressMillis = clock.monotonicMillis();
            }
        }

        /**
         * Sets whether the connection may be evicted: it sends a request, or has a response to read.
         *
         * @param mayBeEvicted whether it may
         */
        public void evictable(boolean mayBeEvicted) {
            synchronized (HeldBytes.this) {
                evictable = mayBeEvicted;
                progressMillis = clock.monotonicMillis();
            }
        }

        /** Returns the bytes that the connection holds. */
        public long bytes() {
            synchronized (HeldBytes.this) {
                return bytes;
            }
        }

        /** Returns the time since the last progress, in milliseconds; 0 if the connection waits for room. */
        public long stalledMillis() {
            synchronized (HeldBytes.this) {
                return resume.isPresent() ? 0 : idleMillis(clock.monotonicMillis());
            }
        }

        /** Gives all bytes back. Further calls have no effect. */
        @Override
        public void close() {
            HeldBytes.this.remove(this);
            resumeWaiting();
        }

        private void evict() {
            evict.run();
            close();
        }

        private boolean isOpen() {
            return holders.containsKey(sequence);
        }

        private long idleMillis(long nowMillis) {
            return nowMillis - progressMillis;
        }
    }
}
