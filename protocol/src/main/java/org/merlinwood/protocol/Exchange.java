package org.merlinwood.protocol;

import org.merlinwood.wire.Frame;

/** One conversation on a connection, independent of the others. Thread-safe. */
public interface Exchange {

    /**
     * Returns the connection.
     *
     * @return the connection that carries this exchange
     */
    PeerConnection connection();

    /**
     * Sends a frame. The number of the exchange is filled in.
     *
     * @param frame the body to send
     * @return false if the frame certainly does not leave this process; true says nothing about arrival
     */
    boolean send(Frame.Builder frame);

    /** Forgets the exchange at this end; later frames of it are dropped. The listener hears nothing more. */
    void finish();
}
