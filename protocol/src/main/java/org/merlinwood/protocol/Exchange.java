package org.merlinwood.protocol;

import org.merlinwood.wire.Frame;

/** A sequence of frames on a connection that belong together, independent of other exchanges. Thread-safe. */
public interface Exchange {

    /**
     * Returns the connection that carries this exchange.
     *
     * @return the connection
     */
    PeerConnection connection();

    /**
     * Sends a frame, after setting its exchange number.
     *
     * @param frame the frame with its body
     * @return false if the frame will definitely not leave this process; true does not imply that it arrives
     */
    boolean send(Frame.Builder frame);

    /** Removes the exchange at this end. Later frames of it are dropped, and the listener is not called any more. */
    void finish();
}
