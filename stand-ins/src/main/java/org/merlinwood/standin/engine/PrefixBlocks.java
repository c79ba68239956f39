package org.merlinwood.standin.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Chained hashes of the blocks of a prompt, 256 tokens each. Stateless and thread-safe. */
public final class PrefixBlocks {

    /** Tokens in one block. */
    public static final int BLOCK_TOKENS = 256;

    private static final int BLOCK_BYTES = BLOCK_TOKENS * 4;

    private PrefixBlocks() {}

    /**
     * Hashes the blocks of a prompt. Prompts share the hashes of their common leading blocks only.
     *
     * @param prompt the prompt
     * @return one hash for each full block, which covers the prompt from its start, as 16 hexadecimal digits
     */
    public static List<String> of(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        List<String> blocks = new ArrayList<>(bytes.length / BLOCK_BYTES);
        long previous = 0;
        for (int start = 0; start + BLOCK_BYTES <= bytes.length; start += BLOCK_BYTES) {
            byte[] chained = ByteBuffer.allocate(Long.BYTES + BLOCK_BYTES)
                    .putLong(previous)
                    .put(bytes, start, BLOCK_BYTES)
                    .array();
            previous = MurmurHash3.hash128x64(chained, 0, chained.length, 0)[0];
            blocks.add(HexFormat.of().toHexDigits(previous));
        }
        return blocks;
    }
}
