package org.merlinwood.gateway.follow;

/** Hears what the store holds. Called on the event loop. */
public interface StoreListener {

    /**
     * A key got a new state.
     *
     * @param change the new state
     */
    void onChange(StoreChange change);

    /**
     * The store was lost or regained.
     *
     * @param reachable whether it answers
     * @param reason why, for logs
     */
    void onReachable(boolean reachable, String reason);
}
