package org.merlinwood.gateway.decision;

import java.util.Collection;
import org.merlinwood.core.time.MillisClock;

/**
 * Decides whether this entry is the one that issues orders to instances, and with which fencing token.
 *
 * <p>The entry with the lowest address issues orders, once it has been the lowest for a settling time and while it
 * reaches a majority of the entries that it knows. The majority prevents both sides of a partition from issuing orders;
 * the settling time prevents two entries from alternating.
 *
 * <p>The upper bits of a fencing token hold the revision of the store, which only increases, and the lower bits hold a
 * number of the entry, so that no two entries use the same token. A new token exceeds every token that the entries have
 * reported to each other.
 *
 * <p>Confined to the event loop.
 */
public final class OrderLeadership {

    /**
     * Time for which the entry must have been the lowest, in milliseconds: longer than any lease of its predecessor.
     */
    private static final long SETTLE_MILLIS = 4_500;

    /** Number of low bits of a fencing token that hold the entry number. */
    private static final int ENTRY_NUMBER_BITS = 24;

    private final MillisClock clock;
    private final String ownAddress;
    private final long entryNumber;
    private long lowestSinceMillis = -1;
    private long fencingToken;
    private long highestFencingToken;
    private boolean tokenRejected;

    /**
     * Creates the decision for an entry that issues no orders yet.
     *
     * @param clock source of the monotonic time
     * @param ownAddress peer address of this entry
     * @param entryNumber number of {@value #ENTRY_NUMBER_BITS} bits that no other entry has; higher bits are ignored
     */
    public OrderLeadership(MillisClock clock, String ownAddress, long entryNumber) {
        this.clock = clock;
        this.ownAddress = ownAddress;
        this.entryNumber = entryNumber & ((1L << ENTRY_NUMBER_BITS) - 1);
    }

    /**
     * Records a fencing token that another entry reported.
     *
     * @param token the token; 0 if the other entry knows none
     */
    public void recordPeerToken(long token) {
        highestFencingToken = Math.max(highestFencingToken, token);
    }

    /**
     * Returns the highest fencing token that this entry has used or that another entry has reported.
     *
     * @return the token, or 0 if none is known
     */
    public long highestFencingToken() {
        return highestFencingToken;
    }

    /**
     * Decides whether this entry may issue an order now. Must be called several times a second: a loss of leadership
     * between two calls goes unnoticed. If it returns true, {@link #fencingToken()} is the token for the order.
     *
     * @param reachablePeers addresses of the other entries whose status messages arrive
     * @param knownPeerCount number of other entries that are known, reachable or not
     * @param fencingTerm number that rises with the position of the store; no orders are issued at 0 or less
     * @return true if it may
     */
    public boolean mayIssueOrders(Collection<String> reachablePeers, int knownPeerCount, long fencingTerm) {
        boolean lowest = reachablePeers.stream().allMatch(address -> address.compareTo(ownAddress) > 0);
        boolean majority = 2 * (reachablePeers.size() + 1) > knownPeerCount + 1;
        if (!lowest || !majority) {
            lowestSinceMillis = -1;
            fencingToken = 0;
            return false;
        }
        long now = clock.monotonicMillis();
        if (lowestSinceMillis < 0) {
            lowestSinceMillis = now;
        }
        if (tokenRejected || now - lowestSinceMillis < SETTLE_MILLIS || fencingTerm <= 0) {
            return false;
        }
        updateFencingToken(fencingTerm);
        return true;
    }

    /**
     * Returns the fencing token for the orders of this entry.
     *
     * @return the token, or 0 if this entry has not been allowed to issue orders since it last lost the leadership
     */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Records that an instance rejected an order because it knows a higher fencing token. This entry issues no more
     * orders until its process is restarted.
     */
    public void tokenRejected() {
        tokenRejected = true;
    }

    private void updateFencingToken(long fencingTerm) {
        if (fencingToken != 0 && fencingToken >= highestFencingToken) {
            return;
        }
        long term = Math.max(fencingTerm, (highestFencingToken >> ENTRY_NUMBER_BITS) + 1);
        fencingToken = term << ENTRY_NUMBER_BITS | entryNumber;
        highestFencingToken = fencingToken;
    }
}
