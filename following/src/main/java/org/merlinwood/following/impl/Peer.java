package org.merlinwood.following.impl;

import java.util.List;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;

/** Another process that can be asked for revisions. Used by the control thread alone. */
interface Peer {

    /** Receives what a peer sends, on the control thread. */
    interface Listener {

        /** Revisions that are newer than the known ones; empty if there are none. */
        void onUpdates(List<DocumentUpdate> updates);

        /** Nothing more comes. Called at most once, last. */
        void onEnded(Failure failure);
    }

    /** Name for logs and dumps. */
    String name();

    /** Asks once; exactly one method of the listener is called, once. */
    void fetch(Revisions known, Listener listener);

    /** Asks for every later revision; the first updates come at once and may be empty. */
    Subscription subscribe(Revisions known, Listener listener);

    /** A subscription under way. */
    interface Subscription {

        /** Ends it; the listener hears nothing more. */
        void end();
    }
}
