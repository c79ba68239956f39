package org.merlinwood.standin.impl;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.Channels;

/**
 * HTTP server of a stand-in. Each exchange is handled by blocking code on its own virtual thread. Thread-safe.
 *
 * <p>Serves from construction until {@link #close()}, which stops listening and then aborts all connections, so that no
 * client that has seen the end of one connection gets another.
 */
public final class StandInServer implements AutoCloseable {

    private static final int IO_THREADS = 2;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long MAXIMUM_BODY_BYTES = 64L << 20;

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final HttpHandler routes;
    private final XnioWorker worker;
    private final Undertow server;
    private final InetSocketAddress address;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts a server.
     *
     * @param listen numeric address; port 0 selects a free port
     * @param routes handles each exchange; may block
     */
    public StandInServer(InetSocketAddress listen, HttpHandler routes) {
        this.routes = routes;
        this.worker = createWorker();
        this.server = Undertow.builder()
                .addHttpListener(listen.getPort(), listen.getAddress().getHostAddress())
                .setWorker(worker)
                .setBufferSize(BUFFER_BYTES)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAXIMUM_BODY_BYTES)
                .setHandler(this::dispatch)
                .build();
        server.start();
        address = (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    }

    private static XnioWorker createWorker() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, IO_THREADS)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException exception) {
            throw new UncheckedIOException("could not start the I/O threads", exception);
        }
    }

    /** Stops listening and aborts all connections. The worker is the server's own, so that both have this order. */
    @Override
    public void close() {
        server.stop();
        connections.forEach(StandInServer::closeNow);
        worker.shutdownNow();
        connections.forEach(StandInServer::closeNow);
        threads.shutdownNow();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the address on which the server listens.
     *
     * @return the address with the port in use
     */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Sends a response with a JSON body.
     *
     * @param exchange the exchange
     * @param status the HTTP status
     * @param body a record
     */
    public static void respond(HttpServerExchange exchange, int status, Object body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        send(exchange, Json.text(body).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a response without a body.
     *
     * @param exchange the exchange
     * @param status the HTTP status
     */
    public static void respond(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    /**
     * Sends a body with its content length. Aborts the connection if writing fails.
     *
     * @param exchange the exchange
     * @param body the bytes
     */
    public static void send(HttpServerExchange exchange, byte[] body) {
        exchange.setResponseContentLength(body.length);
        try (OutputStream output = exchange.getOutputStream()) {
            output.write(body);
        } catch (IOException exception) {
            abort(exchange);
        }
    }

    /**
     * Closes the connection of an exchange at once, without completing the response.
     *
     * @param exchange the exchange
     */
    public static void abort(HttpServerExchange exchange) {
        closeNow(exchange.getConnection());
    }

    /**
     * Closes a connection, and returns once its socket is closed. If two threads close it, the second waits for the
     * first: it would otherwise end its exchange, and so its response, before the socket is closed.
     */
    private static void closeNow(ServerConnection connection) {
        synchronized (connection) {
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Writes text directly to the connection of an exchange, bypassing HTTP.
     *
     * @param exchange the exchange; its response must not have started
     * @param text the text, encoded in ISO 8859-1
     */
    public static void writeRaw(HttpServerExchange exchange, String text) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
        try {
            Channels.writeBlocking(connection.getChannel().getSinkChannel(), bytes);
            Channels.flushBlocking(connection.getChannel().getSinkChannel());
        } catch (IOException exception) {
            abort(exchange);
        }
    }

    /**
     * Reads the body of an exchange.
     *
     * @param exchange the exchange
     * @return the complete body
     * @throws IOException if the connection fails before the end of the body
     */
    public static byte[] readBody(HttpServerExchange exchange) throws IOException {
        return exchange.getInputStream().readAllBytes();
    }

    /**
     * Returns a parameter of the path or query.
     *
     * @param exchange the exchange
     * @param name name of the parameter
     * @return its first value, or empty if it is missing
     */
    public static Optional<String> parameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
    }

    /**
     * Returns a numeric parameter of the path or query.
     *
     * @param exchange the exchange
     * @param name name of the parameter
     * @param defaultValue value to use if the parameter is missing
     * @return the number
     * @throws Json.MalformedBodyException if the parameter is not a number
     */
    public static long longParameter(HttpServerExchange exchange, String name, long defaultValue) {
        Optional<String> text = parameter(exchange, name);
        if (text.isEmpty()) {
            return defaultValue;
        }
        try {
            return Long.parseLong(text.get());
        } catch (NumberFormatException exception) {
            throw new Json.MalformedBodyException(name + " is not a number: " + exception.getMessage());
        }
    }

    // ------------------------------------------------------------------ internals

    private void dispatch(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (connections.add(connection)) {
            connection.addCloseListener(connections::remove);
        }
        exchange.dispatch(threads, this::handle);
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        exchange.startBlocking();
        try {
            routes.handleRequest(exchange);
        } catch (Json.MalformedBodyException exception) {
            respond(exchange, StatusCodes.BAD_REQUEST, new ErrorBody(exception.getMessage()));
        } catch (InterruptedException exception) {
            abort(exchange);
        }
    }
}
