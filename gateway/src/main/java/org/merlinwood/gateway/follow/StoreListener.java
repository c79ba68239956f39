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
     * Returns whether a change would make an instance accept work that is known to leave. After a restore such a change
     * may come from the backup.
     *
     * @param change new state of a key
     * @return true if it contradicts what is known about the same start of the instance
     */
    boolean revives(StoreChange change);

    /**
     * Called when the store was restored from a backup, before any change of the new era.
     *
     * @param previousEra era up to now
     * @param era the new era
     */
    void onRestored(long previousEra, long era);

    /**
     * Called when the store becomes reachable or unreachable. The store is unreachable until its first response.
     *
     * @param reachable whether the store responds
     * @param reason cause of the transition, for logs
     */
    void onReachable(boolean reachable, String reason);
}
