package org.merlinwood.following.impl;

import java.util.List;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;

/** Another process that provides revisions. Confined to the control thread. */
interface Peer {

    /** Receives the responses of a peer, on the control thread. */
    interface Listener {

        /** Called with the revisions that are newer than the known ones; the list is empty if there are none. */
        void onUpdates(List<DocumentUpdate> updates);

        /** Called at most once, after all updates, when the exchange failed or its connection closed. */
        void onEnded(Failure failure);
    }

    /** Returns the name for logs and state dumps. */
    String name();

    /** Fetches newer revisions once. Exactly one method of the listener is called, once. */
    void fetch(Revisions known, Listener listener);

    /** Subscribes to all later revisions. The first updates are sent immediately and may be empty. */
    Subscription subscribe(Revisions known, Listener listener);

    /** An open subscription. */
    interface Subscription {

        /** Ends the subscription; the listener is not called any more. */
        void end();
    }
}
