package org.merlinwood.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.Optional;

/**
 * Runs an action if the connection of a request is closed before its response is complete. Confined to the I/O thread
 * of the connection.
 *
 * <p>There is one for each connection, and it knows the request in progress only: the server keeps a listener of the
 * connection, with all that it refers to, until the connection is closed, which may be after any number of requests.
 */
public final class ConnectionCloseWatch {

    private static final AttachmentKey<ConnectionCloseWatch> KEY = AttachmentKey.create(ConnectionCloseWatch.class);

    /** What to run if the connection is closed now; empty between two requests. */
    private Optional<Runnable> action = Optional.empty();

    private ConnectionCloseWatch() {}

    /**
     * Watches the connection of a request until its response is complete.
     *
     * @param exchange the exchange of the request
     * @param action run at most once, when the connection is closed
     */
    public static void watch(HttpServerExchange exchange, Runnable action) {
        ConnectionCloseWatch watch = of(exchange.getConnection());
        watch.action = Optional.of(action);
        exchange.addExchangeCompleteListener((completed, next) -> {
            watch.action = Optional.empty();
            next.proceed();
        });
    }

    private static ConnectionCloseWatch of(ServerConnection connection) {
        ConnectionCloseWatch known = connection.getAttachment(KEY);
        if (known != null) {
            return known;
        }
        ConnectionCloseWatch watch = new ConnectionCloseWatch();
        connection.putAttachment(KEY, watch);
        connection.addCloseListener(closed -> watch.onClosed());
        return watch;
    }

    private void onClosed() {
        Optional<Runnable> watched = action;
        action = Optional.empty();
        watched.ifPresent(Runnable::run);
    }
}
