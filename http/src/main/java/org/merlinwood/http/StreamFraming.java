package org.merlinwood.http;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import org.xnio.Options;

/**
 * Marks the end of streamed responses that a server sends, so that a client can always tell a complete response from
 * one that was broken off. Stateless; called on the I/O thread of the connection.
 *
 * <p>A client of HTTP/1.1 gets chunks, also on a connection that is closed behind the response: without them the end of
 * the connection would be the end of the response, whatever the reason. A client of HTTP/1.0 doesn't know chunks. For
 * it the connection is reset, also by the operating system when the process ends, unless the response is complete.
 */
public final class StreamFraming {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String CHUNKED = "chunked";

    private StreamFraming() {}

    /**
     * Prepares a streamed response. Called before its head is sent.
     *
     * @param exchange the exchange of the response
     */
    public static void begin(HttpServerExchange exchange) {
        if (exchange.isHttp11()) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, CHUNKED);
        } else {
            setResetOnClose(exchange, true);
        }
    }

    /**
     * Allows the connection to be closed in order. Called once all bytes of a complete response have been written.
     *
     * @param exchange the exchange of the response
     */
    public static void complete(HttpServerExchange exchange) {
        if (!exchange.isHttp11()) {
            setResetOnClose(exchange, false);
        }
    }

    private static void setResetOnClose(HttpServerExchange exchange, boolean reset) {
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
        } catch (IOException exception) {
            logger.atWarning().withCause(exception).log(
                    "the end of a response can't be marked, its connection is probably lost");
        }
    }
}
