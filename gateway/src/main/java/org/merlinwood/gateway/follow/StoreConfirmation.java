package org.merlinwood.gateway.follow;

import java.util.function.Consumer;

/** Tells whether the copy of the store is current. Called on the event loop. */
public interface StoreConfirmation {

    /**
     * Reads what has changed in the store, and applies it.
     *
     * @param consumer receives true once this entry has all changes that the store had made when this method was
     *     called; false if the store doesn't tell soon. Called exactly once, possibly before this method returns
     */
    void confirm(Consumer<Boolean> consumer);
}
