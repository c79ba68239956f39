package org.merlinwood.protocol;

import org.merlinwood.wire.Frame;

/** Accepts exchanges that a peer opens. Called on the event loop of the connection; must not block. */
@FunctionalInterface
public interface ExchangeAcceptor {

    /**
     * Accepts an exchange.
     *
     * @param exchange the new exchange
     * @param first its first frame, which is not passed to the listener
     * @return the listener for later frames and for the loss of the connection
     */
    ExchangeListener accept(Exchange exchange, Frame first);
}
