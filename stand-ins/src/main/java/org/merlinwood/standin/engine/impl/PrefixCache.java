package org.merlinwood.standin.engine.impl;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SequencedSet;

/** Prefix blocks of computed prompts, with eviction of the least recently used ones. Thread-safe. */
public final class PrefixCache {

    private final SequencedSet<String> blocks = new LinkedHashSet<>();
    private final int maximumBlocks;
    private final CacheEventLog events;

    /**
     * Creates an empty cache.
     *
     * @param maximumBlocks capacity in blocks
     * @param events receives the events of stored and evicted blocks
     */
    public PrefixCache(int maximumBlocks, CacheEventLog events) {
        this.maximumBlocks = maximumBlocks;
        this.events = events;
    }

    /**
     * Counts the leading blocks of a prompt that are cached, and marks them as used.
     *
     * @param promptBlocks block hashes of the prompt
     * @return number of leading blocks in the cache
     */
    public synchronized int countCached(List<String> promptBlocks) {
        int cached = 0;
        while (cached < promptBlocks.size() && blocks.contains(promptBlocks.get(cached))) {
            cached++;
        }
        for (String block : promptBlocks.subList(0, cached).reversed()) {
            blocks.addLast(block);
        }
        return cached;
    }

    /**
     * Stores the blocks of a prompt, and evicts the least recently used blocks beyond the capacity.
     *
     * @param promptBlocks block hashes of the prompt
     */
    public synchronized void store(List<String> promptBlocks) {
        List<String> stored = new ArrayList<>();
        for (String block : promptBlocks) {
            if (blocks.add(block)) {
                stored.add(block);
            }
        }
        events.add(CacheEventLog.STORED, stored);
        events.add(CacheEventLog.EVICTED, evict());
    }

    private List<String> evict() {
        List<String> evicted = new ArrayList<>();
        Iterator<String> oldest = blocks.iterator();
        while (blocks.size() > maximumBlocks) {
            evicted.add(oldest.next());
            oldest.remove();
        }
        return evicted;
    }
}
