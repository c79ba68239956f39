package org.merlinwood.following.impl;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Spreads delays, so that a fleet does not act in step. Used by the control thread alone. */
final class Jitter {

    private final UniformRandomProvider random;

    Jitter(long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** A delay between half and one and a half times the given one. */
    long around(long millis) {
        return millis / 2 + upTo(millis);
    }

    /** A delay between 0 and the given one, inclusive. */
    long upTo(long millis) {
        return random.nextLong(millis + 1);
    }

    /** An index below a bound. */
    int index(int bound) {
        return random.nextInt(bound);
    }
}
