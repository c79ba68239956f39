package org.merlinwood.gateway.follow;

/** The other entries as those that may have read the store more recently. Called on the event loop. */
public interface ConfirmationPeers {

    /** Asks some of them how current their copies are. What they answer is recorded when it comes. */
    void ask();
}
