package org.merlinwood.decision.prefix;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The prefixes of one prompt, as a chained hash for each complete block.
 *
 * <p>Hash <i>n</i> is the first half of the 128-bit MurmurHash3 (x64, seed 0) over the eight bytes of hash <i>n - 1</i>
 * (big endian, 0 before the first) and the bytes of block <i>n</i>. Prompts that are equal up to the end of a block
 * therefore have equal hashes for it; the converse holds up to hash collisions. Immutable and thread-safe.
 */
public final class PrefixBlocks {

    /** Size of a block in bytes of UTF-8. */
    public static final int BLOCK_BYTES = 1024;

    /** Size of a block in estimated tokens. */
    public static final int BLOCK_TOKENS = 256;

    /** Empty list of prefixes, for a prompt whose prefixes are unknown. */
    public static final PrefixBlocks NONE = new PrefixBlocks(new long[0]);

    private static final int SEED = 0;

    private final long[] hashes;

    private PrefixBlocks(long[] hashes) {
        this.hashes = hashes;
    }

    /**
     * Hashes the complete blocks of a prompt. A remainder shorter than a block is ignored.
     *
     * @param prompt the prompt text
     * @return its prefixes
     */
    public static PrefixBlocks of(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        long[] hashes = new long[bytes.length / BLOCK_BYTES];
        byte[] chained = new byte[Long.BYTES + BLOCK_BYTES];
        ByteBuffer head = ByteBuffer.wrap(chained);
        long previous = 0;
        for (int block = 0; block < hashes.length; block++) {
            head.putLong(0, previous);
            System.arraycopy(bytes, block * BLOCK_BYTES, chained, Long.BYTES, BLOCK_BYTES);
            previous = MurmurHash3.hash128x64(chained, 0, chained.length, SEED)[0];
            hashes[block] = previous;
        }
        return new PrefixBlocks(hashes);
    }

    /**
     * Creates prefixes from hashes that another process computed.
     *
     * @param hashes a hash for each block, the first block first
     * @return the prefixes
     */
    public static PrefixBlocks ofHashes(List<Long> hashes) {
        return hashes.isEmpty()
                ? NONE
                : new PrefixBlocks(hashes.stream().mapToLong(Long::longValue).toArray());
    }

    /**
     * Returns the number of complete blocks.
     *
     * @return number of blocks, not negative
     */
    public int size() {
        return hashes.length;
    }

    /**
     * Returns the hash of the prefix that ends with a block.
     *
     * @param block index of the block, from 0
     * @return its chained hash
     */
    public long hash(int block) {
        return hashes[block];
    }

    /**
     * Returns all hashes, for a message.
     *
     * @return a hash for each block, the first block first
     */
    public List<Long> hashes() {
        return Arrays.stream(hashes).boxed().toList();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PrefixBlocks blocks && Arrays.equals(hashes, blocks.hashes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(hashes);
    }

    @Override
    public String toString() {
        return "PrefixBlocks[" + hashes.length + "]";
    }
}
