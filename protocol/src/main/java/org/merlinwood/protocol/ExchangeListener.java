package org.merlinwood.protocol;

import org.merlinwood.core.result.ResultCode;
import org.merlinwood.wire.Frame;

/** Receives the frames of one exchange, in order, on the event loop of its connection. Must not block. */
public interface ExchangeListener {

    /**
     * Receives a frame.
     *
     * @param exchange the exchange
     * @param frame the frame
     */
    void onFrame(Exchange exchange, Frame frame);

    /**
     * The connection closed before the exchange was finished. Called at most once, last.
     *
     * @param exchange the exchange
     * @param code why
     */
    void onClosed(Exchange exchange, ResultCode code);
}
