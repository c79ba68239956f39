package org.merlinwood.proving.caller;

import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/** Creates idempotency keys on the side of the caller. Stateless. */
public final class CallerKeys {

    private static final int TIME_SHIFT = 16;
    private static final long VERSION_7 = 0x7000L;
    private static final long RANDOM_A_MASK = 0x0FFFL;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final long RANDOM_B_MASK = 0x3FFF_FFFF_FFFF_FFFFL;

    private CallerKeys() {}

    /**
     * Creates a key that contains its creation time (UUID version 7).
     *
     * @param wallMillis wall-clock time in milliseconds since the epoch
     * @return the key
     */
    public static String timed(long wallMillis) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        long high = (wallMillis << TIME_SHIFT) | VERSION_7 | (random.nextLong() & RANDOM_A_MASK);
        long low = VARIANT | (random.nextLong() & RANDOM_B_MASK);
        return new UUID(high, low).toString();
    }
}
