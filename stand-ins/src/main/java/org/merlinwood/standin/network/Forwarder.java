package org.merlinwood.standin.network;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.merlinwood.standin.StandIn;
import org.merlinwood.standin.impl.StandInServer;

/**
 * Forwards TCP connections to one target, with network faults that tests switch on. Thread-safe; forwards until closed.
 *
 * <p>A connection that has been silenced stays silent: its bytes are discarded, and neither end sees that the other end
 * closed.
 */
public final class Forwarder implements StandIn {

    private static final int BACKLOG = 512;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long DEFAULT_DELAY_MILLIS = 50;

    private final Set<ForwardedConnection> connections = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress target;
    private final ServerSocket listener;
    private final StandInServer administration;
    private volatile ForwardingMode mode = ForwardingMode.PASS;
    private volatile ForwardingDirection direction = ForwardingDirection.BOTH;
    private volatile long delayMillis;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts forwarding.
     *
     * @param listen address on which connections are accepted; port 0 selects a free port
     * @param administrationListen address of the administration port
     * @param target address that connections are forwarded to
     */
    public Forwarder(InetSocketAddress listen, InetSocketAddress administrationListen, InetSocketAddress target) {
        this.target = target;
        try {
            this.listener = new ServerSocket(listen.getPort(), BACKLOG, listen.getAddress());
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot open the listening socket of the forwarder", exception);
        }
        this.administration = new StandInServer(administrationListen, administrationRoutes());
        Thread.ofPlatform().daemon().name("forwarder-accept").start(this::accept);
    }

    @Override
    public void close() {
        ForwardedConnection.closeQuietly(listener);
        connections.forEach(ForwardedConnection::close);
        administration.close();
    }

    // ------------------------------------------------------------------ public API

    @Override
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    @Override
    public InetSocketAddress administrationAddress() {
        return administration.address();
    }

    /**
     * Switches the mode. May be called from any thread.
     *
     * @param newMode what to do with connections
     * @param newDirection direction of the bytes that the mode applies to
     * @param newDelayMillis delay of each read in {@link ForwardingMode#DELAY}, in milliseconds
     */
    public void mode(ForwardingMode newMode, ForwardingDirection newDirection, long newDelayMillis) {
        direction = newDirection;
        delayMillis = newDelayMillis;
        mode = newMode == ForwardingMode.SILENT_EXISTING ? ForwardingMode.PASS : newMode;
        switch (newMode) {
            case SILENT, SILENT_EXISTING -> connections.forEach(connection -> connection.silence(newDirection));
            case DROP -> connections.forEach(ForwardedConnection::close);
            case PASS, DELAY -> {}
        }
    }

    /**
     * Returns the number of open connections.
     *
     * @return open connections, silent ones included
     */
    public int openConnections() {
        return connections.size();
    }

    // ------------------------------------------------------------------ internals

    long delayMillis(ForwardingDirection copied) {
        return mode == ForwardingMode.DELAY && direction.includes(copied) ? delayMillis : 0;
    }

    void onClosed(ForwardedConnection connection) {
        connections.remove(connection);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket accepted = listener.accept();
                Thread.ofVirtual().start(() -> connect(accepted));
            } catch (IOException exception) {
                if (!listener.isClosed()) {
                    throw new UncheckedIOException("cannot accept a connection to be forwarded", exception);
                }
            }
        }
    }

    private void connect(Socket accepted) {
        if (mode == ForwardingMode.DROP) {
            ForwardedConnection.closeQuietly(accepted);
            return;
        }
        Socket outbound = new Socket();
        try {
            accepted.setTcpNoDelay(true);
            outbound.setTcpNoDelay(true);
            outbound.connect(target, CONNECT_TIMEOUT_MILLIS);
        } catch (IOException exception) {
            ForwardedConnection.closeQuietly(accepted);
            ForwardedConnection.closeQuietly(outbound);
            return;
        }
        ForwardedConnection connection = new ForwardedConnection(this, accepted, outbound);
        connections.add(connection);
        if (mode == ForwardingMode.SILENT) {
            connection.silence(direction);
        }
        connection.start();
    }

    private HttpHandler administrationRoutes() {
        return Handlers.routing()
                .post("/mode", this::switchMode)
                .get(
                        "/connections",
                        exchange -> StandInServer.respond(exchange, 200, new OpenConnections(openConnections())));
    }

    private void switchMode(HttpServerExchange exchange) {
        ForwardingMode newMode = ForwardingMode.valueOf(parameter(exchange, "mode", "PASS"));
        ForwardingDirection newDirection = ForwardingDirection.valueOf(parameter(exchange, "direction", "BOTH"));
        mode(newMode, newDirection, StandInServer.longParameter(exchange, "delayMillis", DEFAULT_DELAY_MILLIS));
        StandInServer.respond(exchange, 204);
    }

    private static String parameter(HttpServerExchange exchange, String name, String defaultValue) {
        return StandInServer.parameter(exchange, name).orElse(defaultValue).toUpperCase(Locale.ROOT);
    }

    /**
     * Response with the number of open connections.
     *
     * @param open open connections, silent ones included
     */
    public record OpenConnections(int open) {}
}
