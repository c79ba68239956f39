package org.merlinwood.protocol;

import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ResultCode;

/** Hears what happens to connections, for metrics and for catching up with a peer. Called on event loops. */
public interface ProtocolObserver {

    /**
     * A connection was authenticated.
     *
     * @param connection the connection
     */
    void onOpened(PeerConnection connection);

    /**
     * An authenticated connection ended.
     *
     * @param connection the connection
     * @param code why
     */
    void onClosed(PeerConnection connection, ResultCode code);

    /**
     * A peer told of its revisions.
     *
     * @param connection the connection
     * @param revisions the revisions that the peer has in force
     */
    void onRevisions(PeerConnection connection, Revisions revisions);

    /**
     * A connection was refused before it was authenticated.
     *
     * @param code why
     */
    void onRefused(ResultCode code);
}
