package org.merlinwood.decision.grant.impl;

import java.util.Comparator;
import org.merlinwood.decision.grant.GrantDemand;

/**
 * A demand in the queue, ordered by priority, then by arrival. Immutable.
 *
 * @param demand the demand
 * @param arrival number of its arrival
 * @param sinceMillis monotonic time of its arrival, in milliseconds
 */
public record WaitingDemand(GrantDemand demand, long arrival, long sinceMillis) implements Comparable<WaitingDemand> {

    private static final Comparator<WaitingDemand> ORDER = Comparator.<WaitingDemand>comparingInt(
                    waiting -> waiting.demand().priority())
            .thenComparingLong(WaitingDemand::arrival);

    /**
     * Returns the time after which a grant is of no use to the entry.
     *
     * @return monotonic time in milliseconds
     */
    public long deadlineMillis() {
        return sinceMillis + demand.waitMillis();
    }

    @Override
    public int compareTo(WaitingDemand other) {
        return ORDER.compare(this, other);
    }
}
