package org.merlinwood.protocol;

import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ResultCode;

/** An authenticated connection to a peer. Thread-safe. */
public interface PeerConnection {

    /**
     * Returns the identity of the peer.
     *
     * @return the authenticated identity
     */
    PeerIdentity peer();

    /**
     * Returns the highest revisions that the peer has sent on this connection.
     *
     * @return the revisions, {@link Revisions#NONE} for a document of which the peer has sent none
     */
    Revisions peerRevisions();

    /**
     * Opens an exchange. Nothing is sent before the first {@link Exchange#send}.
     *
     * @param listener receives the peer's frames of this exchange
     * @return the exchange; if the connection is closed already, the listener is notified of that on the event loop
     */
    Exchange open(ExchangeListener listener);

    /**
     * Returns whether the connection is open.
     *
     * @return false once the connection is closed, so that no frames can be sent
     */
    boolean isOpen();

    /**
     * Closes the connection and notifies the listeners of all open exchanges.
     *
     * @param code reason for the close; the first call decides
     */
    void close(ResultCode code);
}
