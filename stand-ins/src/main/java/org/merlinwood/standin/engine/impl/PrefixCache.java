package org.merlinwood.standin.engine.impl;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SequencedSet;

/** Prefix blocks of prompts that were computed, least recently used evicted first. Thread-safe. */
public final class PrefixCache {

    private final SequencedSet<String> blocks = new LinkedHashSet<>();
    private final int maximumBlocks;
    private final CacheEventLog events;

    /**
     * Creates an empty cache.
     *
     * @param maximumBlocks blocks that it holds at most
     * @param events told of stored and evicted blocks
     */
    public PrefixCache(int maximumBlocks, CacheEventLog events) {
        this.maximumBlocks = maximumBlocks;
        this.events = events;
    }

    /**
     * Counts the leading blocks that are held, and marks them as used.
     *
     * @param prompt blocks of a prompt
     * @return how many of the first blocks are held
     */
    public synchronized int countHeld(List<String> prompt) {
        int held = 0;
        while (held < prompt.size() && blocks.contains(prompt.get(held))) {
            held++;
        }
        for (String block : prompt.subList(0, held).reversed()) {
            blocks.addLast(block);
        }
        return held;
    }

    /**
     * Stores the blocks of a prompt.
     *
     * @param prompt blocks of a prompt
     */
    public synchronized void store(List<String> prompt) {
        List<String> stored = new ArrayList<>();
        for (String block : prompt) {
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
