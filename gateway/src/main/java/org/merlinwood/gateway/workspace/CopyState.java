package org.merlinwood.gateway.workspace;

import java.util.OptionalLong;

/**
 * How current the copy of the configuration is. Immutable.
 *
 * @param confirmedAtMillis monotonic time of which the copy is known to have everything that the store had
 *     acknowledged, in milliseconds; empty if no such time is known
 * @param higherVersionElsewhere whether another entry has reported a higher version of the configuration
 */
public record CopyState(OptionalLong confirmedAtMillis, boolean higherVersionElsewhere) {

    /**
     * Age from which on the copy is not recent, in milliseconds. A watch of the store that waits for its full time
     * confirms the copy less often than that, so that it has to be confirmed for each busy entry besides.
     */
    public static final long RECENT_MILLIS = 1_500;

    /**
     * Returns whether the copy had everything that the store had acknowledged a time before.
     *
     * @param atMillis monotonic time, in milliseconds
     * @param ageMillis the time before that one, in milliseconds
     * @return false also if another entry has a higher version
     */
    public boolean isConfirmedWithin(long atMillis, long ageMillis) {
        return !higherVersionElsewhere
                && confirmedAtMillis.isPresent()
                && atMillis - confirmedAtMillis.getAsLong() <= ageMillis;
    }
}
