package org.merlinwood.decision.prefix;

import java.util.Arrays;

/**
 * Remembers which holder may have which prefix in its cache. A hint: entries are lost when the table is full, and
 * holders evict without telling.
 *
 * <p>The table has a fixed size and is grouped in sets of {@value #WAYS} rows; a new block takes the oldest row of its
 * set. Holders are numbers from 0 to {@value #MAXIMUM_HOLDERS} - 1, so that a row keeps them in one bit mask. Not
 * thread-safe: used by one control thread.
 */
public final class PrefixIndex {

    /** Holders that one index can tell apart. */
    public static final int MAXIMUM_HOLDERS = Long.SIZE;

    private static final int WAYS = 4;
    private static final int MILLIS_PER_STAMP_SHIFT = 4;
    private static final long EMPTY = 0;

    private final long[] blocks;
    private final long[] holders;
    private final int[] stamps;
    private final int setMask;
    private final long lifeMillis;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an empty index.
     *
     * @param rows rows in all, a power of two, at least {@value #WAYS}
     * @param lifeMillis how long a row is believed, in milliseconds
     */
    public PrefixIndex(int rows, long lifeMillis) {
        if (Integer.bitCount(rows) != 1 || rows < WAYS) {
            throw new IllegalArgumentException("rows must be a power of two of at least " + WAYS);
        }
        this.blocks = new long[rows];
        this.holders = new long[rows];
        this.stamps = new int[rows];
        this.setMask = rows / WAYS - 1;
        this.lifeMillis = lifeMillis;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Notes that a holder has all prefixes of a prompt.
     *
     * @param holder number of the holder
     * @param prefixes the prefixes
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void recordStored(int holder, PrefixBlocks prefixes, long nowMillis) {
        int stamp = stamp(nowMillis);
        for (int block = 0; block < prefixes.size(); block++) {
            store(prefixes.hash(block), 1L << holder, stamp);
        }
    }

    /**
     * Notes that a holder evicted a prefix.
     *
     * @param holder number of the holder
     * @param blockHash hash of the prefix's last block
     */
    public void recordEviction(int holder, long blockHash) {
        int row = find(blockHash);
        if (row >= 0) {
            holders[row] &= ~(1L << holder);
        }
    }

    /**
     * Forgets everything of one holder, so that its number can be given to another.
     *
     * @param holder number of the holder
     */
    public void remove(int holder) {
        long kept = ~(1L << holder);
        for (int row = 0; row < holders.length; row++) {
            holders[row] &= kept;
        }
    }

    /**
     * Finds how many leading blocks each holder may have.
     *
     * @param prefixes the prefixes of the prompt
     * @param nowMillis the monotonic time, in milliseconds
     * @param matchedBlocks is filled with the number of blocks for each holder; has {@value #MAXIMUM_HOLDERS} places
     */
    public void match(PrefixBlocks prefixes, long nowMillis, int[] matchedBlocks) {
        Arrays.fill(matchedBlocks, 0);
        long unmatched = -1L;
        for (int block = prefixes.size() - 1; block >= 0 && unmatched != 0; block--) {
            long found = believedHolders(prefixes.hash(block), nowMillis) & unmatched;
            unmatched &= ~found;
            while (found != 0) {
                matchedBlocks[Long.numberOfTrailingZeros(found)] = block + 1;
                found &= found - 1;
            }
        }
    }

    // ------------------------------------------------------------------ internals

    private long believedHolders(long blockHash, long nowMillis) {
        int row = find(blockHash);
        if (row < 0) {
            return 0;
        }
        long ageMillis = (long) (stamp(nowMillis) - stamps[row]) << MILLIS_PER_STAMP_SHIFT;
        return ageMillis <= lifeMillis ? holders[row] : 0;
    }

    private void store(long blockHash, long holder, int stamp) {
        int row = find(blockHash);
        if (row < 0) {
            row = oldestRow(firstRow(blockHash));
            blocks[row] = key(blockHash);
            holders[row] = 0;
        }
        holders[row] |= holder;
        stamps[row] = stamp;
    }

    private int find(long blockHash) {
        long key = key(blockHash);
        int first = firstRow(blockHash);
        for (int row = first; row < first + WAYS; row++) {
            if (blocks[row] == key) {
                return row;
            }
        }
        return -1;
    }

    private int oldestRow(int first) {
        int oldest = first;
        for (int row = first; row < first + WAYS; row++) {
            if (blocks[row] == EMPTY) {
                return row;
            }
            if (stamps[row] - stamps[oldest] < 0) {
                oldest = row;
            }
        }
        return oldest;
    }

    private int firstRow(long blockHash) {
        return ((int) (blockHash >>> Integer.SIZE) & setMask) * WAYS;
    }

    private static long key(long blockHash) {
        return blockHash == EMPTY ? 1 : blockHash;
    }

    private static int stamp(long nowMillis) {
        return (int) (nowMillis >>> MILLIS_PER_STAMP_SHIFT);
    }
}
