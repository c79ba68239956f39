package org.merlinwood.protocol;

import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ResultCode;

/**
 * Receives connection events, for metrics and for catching up with revisions of peers. Called on event loops; must not
 * block.
 */
public interface ProtocolObserver {

    /**
     * Called when a connection was authenticated.
     *
     * @param connection the connection
     */
    void onOpened(PeerConnection connection);

    /**
     * Called when an authenticated connection closed.
     *
     * @param connection the connection
     * @param code reason for the close
     */
    void onClosed(PeerConnection connection, ResultCode code);

    /**
     * Called when a peer has sent its revisions, in the handshake or a heartbeat.
     *
     * @param connection the connection
     * @param revisions the active revisions of the peer
     */
    void onRevisions(PeerConnection connection, Revisions revisions);

    /**
     * Called when a handshake failed, on either side.
     *
     * @param code reason for the failure
     */
    void onRefused(ResultCode code);
}
