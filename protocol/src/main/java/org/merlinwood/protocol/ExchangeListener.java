package org.merlinwood.protocol;

import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Frame;

/** Receives the frames of one exchange, in order, on the event loop of its connection. Must not block. */
public interface ExchangeListener {

    /**
     * Called for each frame.
     *
     * @param exchange the exchange
     * @param frame the received frame
     */
    void onFrame(Exchange exchange, Frame frame);

    /**
     * Called when the connection closed before the exchange was finished. Called at most once; no other call follows.
     *
     * @param exchange the exchange
     * @param code reason for the close
     */
    void onClosed(Exchange exchange, ResultCode code);
}
