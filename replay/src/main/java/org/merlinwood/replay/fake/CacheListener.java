package org.merlinwood.replay.fake;

import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** Gets cache events of the fake prefill engines. */
@FunctionalInterface
public interface CacheListener {

    /**
     * A prompt's prefixes were stored.
     *
     * @param instance the instance
     * @param blocks the prefixes
     */
    void stored(InstanceName instance, PrefixBlocks blocks);
}
