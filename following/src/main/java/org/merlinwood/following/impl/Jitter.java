package org.merlinwood.following.impl;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Randomizes delays so that processes of a fleet do not act in lockstep. Confined to the control thread. */
final class Jitter {

    private final UniformRandomProvider random;

    Jitter(long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns a delay between 0.5 and 1.5 times the given one. */
    long around(long millis) {
        return millis / 2 + upTo(millis);
    }

    /** Returns a delay between 0 and the given one, inclusive. */
    long upTo(long millis) {
        return random.nextLong(millis + 1);
    }

    /** Returns an index from 0 (inclusive) to the bound (exclusive). */
    int index(int bound) {
        return random.nextInt(bound);
    }
}
