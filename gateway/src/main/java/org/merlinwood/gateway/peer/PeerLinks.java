package org.merlinwood.gateway.peer;

import java.util.List;
import org.merlinwood.wire.Frame;

/** The entries that know messages of one kind and can be reached now. Confined to the event loop. */
interface PeerLinks {

    /** Returns the addresses of the entries that this one is connected to and receives status messages from. */
    List<String> reachable();

    /** Returns the number of entries that are known, reachable or not. */
    int knownCount();

    /** Sends a frame to an entry; does nothing if it can't be reached any more. */
    void send(String address, Frame.Builder frame);
}
