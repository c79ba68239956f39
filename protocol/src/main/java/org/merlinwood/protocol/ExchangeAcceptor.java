package org.merlinwood.protocol;

import org.merlinwood.wire.Frame;

/** Accepts exchanges that a peer opens. Called on an event loop; must not block. */
@FunctionalInterface
public interface ExchangeAcceptor {

    /**
     * Accepts an exchange.
     *
     * @param exchange the new exchange
     * @param first its first frame, which is not given to the listener again
     * @return the listener for later frames and for the end of the connection
     */
    ExchangeListener accept(Exchange exchange, Frame first);
}
