package org.merlinwood.replay.fake;

import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** Receives the cache events of the fake prefill engines, without the delay and loss of a real report. */
@FunctionalInterface
public interface CacheListener {

    /**
     * Called when a prefill engine has stored the prefix blocks of a prompt.
     *
     * @param instance the prefill instance
     * @param blocks the prefix blocks that it stored
     */
    void stored(InstanceName instance, PrefixBlocks blocks);
}
