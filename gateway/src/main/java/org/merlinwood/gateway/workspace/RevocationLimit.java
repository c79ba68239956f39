package org.merlinwood.gateway.workspace;

import java.util.OptionalLong;

/**
 * For how long a revoked key may still be accepted. Immutable.
 *
 * @param strict whether a key is accepted only if the copy of the configuration is known to be recent enough; if false,
 *     the copy decides, however old it is
 * @param millis time from the revocation of a key until no request that is sent later may run, in milliseconds; empty
 *     if there is no limit
 */
public record RevocationLimit(boolean strict, OptionalLong millis) {

    /** The limit of a deployment that names none. */
    public static final RevocationLimit NONE = new RevocationLimit(false, OptionalLong.empty());

    /** Allows for the clocks of two machines that run at slightly different speeds, in milliseconds. */
    private static final long MARGIN_MILLIS = 250;

    /**
     * Part of the allowed age from which on the store is asked. Until then other entries are, which costs the store
     * nothing; the rest is time for an answer of a slow store.
     */
    private static final double STORE_AGE_RATIO = 0.8;

    /** Number of times that the copy may be confirmed late, or not at all, before requests are refused. */
    private static final int CONFIRMATIONS_WITHIN_LIMIT = 3;

    /**
     * Returns the age from which on the copy has to be confirmed, while keys are used.
     *
     * @return milliseconds, at most {@link CopyState#RECENT_MILLIS}
     */
    public long confirmAfterMillis() {
        return Math.min(
                CopyState.RECENT_MILLIS, maximumCopyAgeMillis().orElse(Long.MAX_VALUE) / CONFIRMATIONS_WITHIN_LIMIT);
    }

    /**
     * Returns the age from which on the store is asked as well as other entries, while keys are used.
     *
     * @return milliseconds, not below {@link #confirmAfterMillis()}
     */
    public long confirmByStoreAfterMillis() {
        OptionalLong maximumAgeMillis = maximumCopyAgeMillis();
        return maximumAgeMillis.isEmpty()
                ? confirmAfterMillis()
                : Math.max(confirmAfterMillis(), Math.round(maximumAgeMillis.getAsLong() * STORE_AGE_RATIO));
    }

    /**
     * Returns how old the copy of the configuration may be when a request with a key has been read.
     *
     * @return milliseconds; empty if the age doesn't matter
     */
    public OptionalLong maximumCopyAgeMillis() {
        return strict && millis.isPresent()
                ? OptionalLong.of(millis.getAsLong() - MARGIN_MILLIS)
                : OptionalLong.empty();
    }
}
