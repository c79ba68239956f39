package org.merlinwood.protocol;

import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ResultCode;

/** One authenticated connection. Thread-safe. */
public interface PeerConnection {

    /**
     * Returns who is at the other end.
     *
     * @return the authenticated identity
     */
    PeerIdentity peer();

    /**
     * Returns the newest revisions that the peer has told of.
     *
     * @return the revisions, both {@link Revisions#NONE} before the peer had any
     */
    Revisions peerRevisions();

    /**
     * Opens an exchange. Nothing is sent before the first {@link Exchange#send}.
     *
     * @param listener receives the peer's frames of this exchange
     * @return the exchange; already ended if the connection is closed, in which case the listener was told
     */
    Exchange open(ExchangeListener listener);

    /**
     * Tells whether frames can be sent.
     *
     * @return false once the connection is closed
     */
    boolean isOpen();

    /**
     * Closes the connection; the listeners of all open exchanges are told.
     *
     * @param code why
     */
    void close(ResultCode code);
}
