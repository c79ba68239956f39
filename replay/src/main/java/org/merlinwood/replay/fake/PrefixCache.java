package org.merlinwood.replay.fake;

import java.util.LinkedHashMap;
import java.util.Map;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** Prefix cache of one prefill engine. Evicts the least recently used blocks. Not thread-safe. */
final class PrefixCache {

    private final int maximumBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int cacheTokens) {
        this.maximumBlocks = cacheTokens / PrefixBlocks.BLOCK_TOKENS;
    }

    int cachedTokens(PrefixBlocks prefixes) {
        int block = 0;
        while (block < prefixes.size() && blocks.get(prefixes.hash(block)) != null) {
            block++;
        }
        return block * PrefixBlocks.BLOCK_TOKENS;
    }

    void store(PrefixBlocks prefixes) {
        for (int block = prefixes.size() - 1; block >= 0; block--) {
            blocks.put(prefixes.hash(block), Boolean.TRUE);
        }
        while (blocks.size() > maximumBlocks) {
            blocks.remove(blocks.keySet().iterator().next());
        }
    }
}
