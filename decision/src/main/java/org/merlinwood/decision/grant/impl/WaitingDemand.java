package org.merlinwood.decision.grant.impl;

import java.util.Comparator;
import org.merlinwood.decision.grant.GrantDemand;

/**
 * A queued demand. Its natural order is by priority, then by arrival. Immutable.
 *
 * @param demand the demand
 * @param arrival sequence number of its arrival, from 1
 * @param sinceMillis monotonic time of its arrival, in milliseconds
 */
public record WaitingDemand(GrantDemand demand, long arrival, long sinceMillis) implements Comparable<WaitingDemand> {

    private static final Comparator<WaitingDemand> BY_PRIORITY_AND_ARRIVAL = Comparator.<WaitingDemand>comparingInt(
                    waiting -> waiting.demand().priority())
            .thenComparingLong(WaitingDemand::arrival);

    /**
     * Returns the time after which the entry can no longer use a grant.
     *
     * @return monotonic time in milliseconds
     */
    public long deadlineMillis() {
        return sinceMillis + demand.waitMillis();
    }

    @Override
    public int compareTo(WaitingDemand other) {
        return BY_PRIORITY_AND_ARRIVAL.compare(this, other);
    }
}
