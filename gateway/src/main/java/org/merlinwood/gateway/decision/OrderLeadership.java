package org.merlinwood.gateway.decision;

import java.util.Collection;
import org.merlinwood.core.time.MillisClock;

/**
 * Decides whether this entry is the one that gives orders to instances, and with which fencing token.
 *
 * <p>Used by the event loop alone. The entry with the lowest address gives orders, once it has been the lowest for a
 * while and hears most of the entries that it knows, so that no two sides of a partition give orders and no two entries
 * take turns. The fencing token begins with the store's revision, which only rises, and ends with a number of the
 * entry, so that no two entries share one; it exceeds every token that the entries have told each other of.
 */
public final class OrderLeadership {

    /** How long the entry must have been the lowest, in milliseconds: longer than any lease of an earlier holder. */
    private static final long SETTLE_MILLIS = 4_500;

    /** Bits of the token that name the entry. */
    private static final int ENTRY_BITS = 24;

    private final MillisClock clock;
    private final String ownAddress;
    private final long entryNumber;
    private long lowestSinceMillis = -1;
    private long fencingToken;
    private long highestFencingToken;
    private boolean tokenRejected;

    /**
     * Creates the decision.
     *
     * @param clock the time
     * @param ownAddress peer address of this entry
     * @param entryNumber a number of {@value #ENTRY_BITS} bits that no other entry has
     */
    public OrderLeadership(MillisClock clock, String ownAddress, long entryNumber) {
        this.clock = clock;
        this.ownAddress = ownAddress;
        this.entryNumber = entryNumber & ((1L << ENTRY_BITS) - 1);
    }

    /**
     * Notes a token that another entry told of.
     *
     * @param token the token
     */
    public void recordPeerToken(long token) {
        highestFencingToken = Math.max(highestFencingToken, token);
    }

    /**
     * Returns the highest token that is known.
     *
     * @return the token, 0 for none
     */
    public long highestFencingToken() {
        return highestFencingToken;
    }

    /**
     * Decides whether this entry may give an order now. To be asked often, since it must have been the lowest all
     * along.
     *
     * @param heard addresses of the other entries that are heard
     * @param known number of other entries that are known
     * @param storeRevision revision of the store
     * @return true if it may
     */
    public boolean mayIssueOrders(Collection<String> heard, int known, long storeRevision) {
        boolean lowest = heard.stream().allMatch(address -> address.compareTo(ownAddress) > 0);
        boolean most = 2 * (heard.size() + 1) > known + 1;
        if (!lowest || !most) {
            lowestSinceMillis = -1;
            fencingToken = 0;
            return false;
        }
        long now = clock.monotonicMillis();
        if (lowestSinceMillis < 0) {
            lowestSinceMillis = now;
        }
        if (tokenRejected || now - lowestSinceMillis < SETTLE_MILLIS || storeRevision <= 0) {
            return false;
        }
        takeFence(storeRevision);
        return true;
    }

    /**
     * Returns the token for orders.
     *
     * @return the token of this entry
     */
    public long fencingToken() {
        return fencingToken;
    }

    /** Notes that an instance knew a higher token: this entry gives no more orders in its life. */
    public void tokenRejected() {
        tokenRejected = true;
    }

    private void takeFence(long storeRevision) {
        if (fencingToken != 0 && fencingToken >= highestFencingToken) {
            return;
        }
        long revisions = Math.max(storeRevision, (highestFencingToken >> ENTRY_BITS) + 1);
        fencingToken = revisions << ENTRY_BITS | entryNumber;
        highestFencingToken = fencingToken;
    }
}
