package org.merlinwood.gateway.front;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import org.merlinwood.gateway.decision.DrainPolicy;

/**
 * Ends the connection of a caller behind its response if the entry drains, whenever its request came. Confined to the
 * event loop.
 */
final class ConnectionReuse {

    private final DrainPolicy drainPolicy;

    ConnectionReuse(DrainPolicy drainPolicy) {
        this.drainPolicy = drainPolicy;
    }

    /** Announces the end of the connection in the head of a response. Called before the head is sent. */
    void announce(HttpServerExchange exchange) {
        endIfDraining(exchange);
    }

    /**
     * Ends the connection behind a complete response, even if its head was sent before the drain; unless bytes of a
     * next request were read, whose response announces the end.
     */
    void applyAtEnd(HttpServerExchange exchange) {
        if (!hasNextRequest(exchange)) {
            endIfDraining(exchange);
        }
    }

    private static boolean hasNextRequest(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof AbstractServerConnection connection
                && connection.getExtraBytes() != null;
    }

    private void endIfDraining(HttpServerExchange exchange) {
        if (drainPolicy.draining()) {
            exchange.setPersistent(false);
        }
    }
}
