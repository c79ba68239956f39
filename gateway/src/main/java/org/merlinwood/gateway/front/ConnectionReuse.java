package org.merlinwood.gateway.front;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.merlinwood.gateway.decision.DrainPolicy;

/**
 * Tells callers in each response whether, and for how long, they may send another request on its connection, so that
 * none is on its way when the process exits. Confined to the event loop.
 */
final class ConnectionReuse {

    private static final HttpString KEEP_ALIVE = HttpString.tryFromString("Keep-Alive");
    private static final long MILLIS_PER_SECOND = 1_000;

    private final DrainPolicy drainPolicy;

    ConnectionReuse(DrainPolicy drainPolicy) {
        this.drainPolicy = drainPolicy;
    }

    /** Adds the headers to a response. Called before its head is sent. */
    void announce(HttpServerExchange exchange) {
        long reuseSeconds = drainPolicy.connectionReuseMillis() / MILLIS_PER_SECOND;
        if (reuseSeconds == 0) {
            exchange.setPersistent(false);
        } else if (exchange.isPersistent()) {
            exchange.getResponseHeaders().put(KEEP_ALIVE, "timeout=" + reuseSeconds);
        }
    }

    /** Ends the connection behind a complete response if the entry drains, even if the head announced otherwise. */
    void applyAtEnd(HttpServerExchange exchange) {
        if (drainPolicy.draining()) {
            exchange.setPersistent(false);
        }
    }
}
