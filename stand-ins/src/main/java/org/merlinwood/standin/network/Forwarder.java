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
 * Forwards TCP connections to one target, and fails on command. Thread-safe; forwards until closed.
 *
 * <p>A connection that once was silent stays silent: its bytes are lost, and neither end learns that the other closed.
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
     * @param listen where connections are accepted; port 0 lets the system choose
     * @param administrationListen address for commands
     * @param target where they are forwarded to
     */
    public Forwarder(InetSocketAddress listen, InetSocketAddress administrationListen, InetSocketAddress target) {
        this.target = target;
        try {
            this.listener = new ServerSocket(listen.getPort(), BACKLOG, listen.getAddress());
        } catch (IOException exception) {
            throw new UncheckedIOException("the forwarder could not listen", exception);
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
     * Switches the mode.
     *
     * @param value what to do with connections
     * @param way which way it holds
     * @param millis delay of {@link ForwardingMode#DELAY}, in milliseconds
     */
    public void mode(ForwardingMode value, ForwardingDirection way, long millis) {
        direction = way;
        delayMillis = millis;
        mode = value == ForwardingMode.SILENT_EXISTING ? ForwardingMode.PASS : value;
        switch (value) {
            case SILENT, SILENT_EXISTING -> connections.forEach(connection -> connection.silence(way));
            case DROP -> connections.forEach(ForwardedConnection::close);
            case PASS, DELAY -> {}
        }
    }

    /**
     * Returns how many connections are open.
     *
     * @return connections, silent ones included
     */
    public int openConnections() {
        return connections.size();
    }

    // ------------------------------------------------------------------ internals

    long delayMillis(ForwardingDirection way) {
        return mode == ForwardingMode.DELAY && direction.includes(way) ? delayMillis : 0;
    }

    void ended(ForwardedConnection connection) {
        connections.remove(connection);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket accepted = listener.accept();
                Thread.ofVirtual().start(() -> connect(accepted));
            } catch (IOException exception) {
                if (!listener.isClosed()) {
                    throw new UncheckedIOException("the forwarder could not accept", exception);
                }
            }
        }
    }

    private void connect(Socket accepted) {
        if (mode == ForwardingMode.DROP) {
            ForwardedConnection.closeQuietly(accepted);
            return;
        }
        Socket outward = new Socket();
        try {
            accepted.setTcpNoDelay(true);
            outward.setTcpNoDelay(true);
            outward.connect(target, CONNECT_TIMEOUT_MILLIS);
        } catch (IOException exception) {
            ForwardedConnection.closeQuietly(accepted);
            ForwardedConnection.closeQuietly(outward);
            return;
        }
        ForwardedConnection connection = new ForwardedConnection(this, accepted, outward);
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
                        exchange -> StandInServer.answer(exchange, 200, new OpenConnections(openConnections())));
    }

    private void switchMode(HttpServerExchange exchange) {
        ForwardingMode value = ForwardingMode.valueOf(text(exchange, "mode", "PASS"));
        ForwardingDirection way = ForwardingDirection.valueOf(text(exchange, "direction", "BOTH"));
        mode(value, way, StandInServer.number(exchange, "delayMillis", DEFAULT_DELAY_MILLIS));
        StandInServer.answer(exchange, 204);
    }

    private static String text(HttpServerExchange exchange, String name, String otherwise) {
        return StandInServer.parameter(exchange, name).orElse(otherwise).toUpperCase(Locale.ROOT);
    }

    /**
     * How many connections are open.
     *
     * @param open connections, silent ones included
     */
    public record OpenConnections(int open) {}
}
