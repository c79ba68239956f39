package org.merlinwood.gateway.follow;

import java.util.OptionalLong;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.workspace.CopyState;

/**
 * Has the copy of the store confirmed while requests with keys arrive: asks other entries once the copy is no longer
 * recent, and the store if they don't help or a request can't be decided, each at limited intervals. Not thread-safe:
 * used on the event loop only.
 */
public final class ConfirmationDemand {

    /** Minimum interval between two questions to the store, in milliseconds. */
    static final long STORE_INTERVAL_MILLIS = 1_000;

    /** Minimum interval between two questions to other entries, in milliseconds. Some may be cut off as well. */
    static final long PEER_INTERVAL_MILLIS = 500;

    private final CopyConfirmation confirmation;
    private final StoreConfirmation store;
    private final ConfirmationPeers peers;
    private final long confirmAfterMillis;
    private final long storeAfterMillis;
    private final MillisClock clock;
    private long lastStoreMillis = Long.MIN_VALUE / 2;
    private long lastPeerMillis = Long.MIN_VALUE / 2;
    private long doubtCountAsked;

    /**
     * Creates a demand that has asked nothing.
     *
     * @param confirmation how current the copy is
     * @param store reads what has changed in the store
     * @param peers the other entries
     * @param confirmAfterMillis age of the copy from which on other entries are asked, in milliseconds
     * @param storeAfterMillis age of the copy from which on the store is asked as well, in milliseconds
     * @param clock monotonic time
     */
    public ConfirmationDemand(
            CopyConfirmation confirmation,
            StoreConfirmation store,
            ConfirmationPeers peers,
            long confirmAfterMillis,
            long storeAfterMillis,
            MillisClock clock) {
        this.confirmation = confirmation;
        this.store = store;
        this.peers = peers;
        this.confirmAfterMillis = confirmAfterMillis;
        this.storeAfterMillis = storeAfterMillis;
        this.clock = clock;
    }

    /**
     * Called when a request with a key has arrived.
     *
     * @param state how current the copy is
     * @param undecided whether the request could not be decided by the copy
     */
    public void onKeyUsed(CopyState state, boolean undecided) {
        if (state.isConfirmedWithin(clock.monotonicMillis(), confirmAfterMillis)) {
            return;
        }
        askAtOnceIfDoubtful();
        if (undecided || !state.isConfirmedWithin(clock.monotonicMillis(), storeAfterMillis)) {
            askStore();
        }
        if (isDue(lastPeerMillis, PEER_INTERVAL_MILLIS)) {
            lastPeerMillis = clock.monotonicMillis();
            peers.ask();
        }
    }

    /** Called when another entry asks. Asks the store alone, so that entries don't ask each other in circles. */
    public void onPeerAsked() {
        OptionalLong ageMillis = confirmation.ageMillis();
        if (ageMillis.isEmpty() || ageMillis.getAsLong() > storeAfterMillis) {
            askStore();
        }
    }

    private void askAtOnceIfDoubtful() {
        if (confirmation.doubtCount() != doubtCountAsked) {
            doubtCountAsked = confirmation.doubtCount();
            lastStoreMillis = Long.MIN_VALUE / 2;
            lastPeerMillis = Long.MIN_VALUE / 2;
        }
    }

    private void askStore() {
        if (isDue(lastStoreMillis, STORE_INTERVAL_MILLIS)) {
            lastStoreMillis = clock.monotonicMillis();
            // The answer counts where it is applied.
            store.confirm(current -> {});
        }
    }

    private boolean isDue(long lastMillis, long intervalMillis) {
        return clock.monotonicMillis() - lastMillis >= intervalMillis;
    }
}
