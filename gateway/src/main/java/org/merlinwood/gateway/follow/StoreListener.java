package org.merlinwood.gateway.follow;

/** Receives changes of the store and of its reachability. Called on the event loop. */
public interface StoreListener {

    /**
     * Called after a key was written or removed.
     *
     * @param change new state of the key
     */
    void onChange(StoreChange change);

    /**
     * Called when the store becomes reachable or unreachable. The store is unreachable until its first response.
     *
     * @param reachable whether the store responds
     * @param reason cause of the transition, for logs
     */
    void onReachable(boolean reachable, String reason);
}
