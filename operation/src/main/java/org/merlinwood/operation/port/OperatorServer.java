package org.merlinwood.operation.port;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.merlinwood.operation.metric.MetricsText;
import org.xnio.Options;

/**
 * HTTP server of the operator port of one process. It serves {@code /health}, {@code /ready}, {@code /metrics} and
 * {@code /dump}, and starts a drain on {@code POST /drain}. Started and closed once; thread-safe.
 */
public final class OperatorServer implements AutoCloseable {

    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 2;

    /** Idle timeout of connections, and maximum time for a head, in milliseconds. */
    private static final int IDLE_TIMEOUT_MILLIS = 15_000;

    /** Maximum head, and maximum body, of a request, in bytes. */
    private static final int MAXIMUM_REQUEST_BYTES = 16 << 10;

    /** Connections that are accepted; the other ports of the process keep their descriptors. */
    private static final int MAXIMUM_CONNECTIONS = 128;

    private static final String JSON = "application/json";

    private final MetricRegistry metrics;
    private final List<StateSection> sections;
    private final BooleanSupplier ready;
    private final Runnable drain;
    private final Undertow server;

    // ------------------------------------------------------------------ configuration

    private OperatorServer(Builder builder) {
        this.metrics = builder.metrics;
        this.sections = List.copyOf(builder.sections);
        this.ready = builder.ready;
        this.drain = builder.drain;
        this.server = Undertow.builder()
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_REQUEST_BYTES)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAXIMUM_REQUEST_BYTES)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, MAXIMUM_CONNECTIONS)
                .setSocketOption(Options.CONNECTION_LOW_WATER, MAXIMUM_CONNECTIONS - 1)
                .addHttpListener(builder.address.getPort(), builder.address.getHostString())
                .setHandler(routes())
                .build();
    }

    /**
     * Returns a builder.
     *
     * @param address numeric address to listen on; port 0 selects a free port
     * @param metrics the registry to serve
     * @return a new builder
     */
    public static Builder builder(InetSocketAddress address, MetricRegistry metrics) {
        return new Builder(address, metrics);
    }

    /** Builder of a server. Not thread-safe. */
    public static final class Builder {

        private final InetSocketAddress address;
        private final MetricRegistry metrics;
        private final List<StateSection> sections = new ArrayList<>();
        private BooleanSupplier ready = () -> true;
        private Runnable drain = () -> {};

        private Builder(InetSocketAddress address, MetricRegistry metrics) {
            this.address = Objects.requireNonNull(address, "address");
            this.metrics = Objects.requireNonNull(metrics, "metrics");
        }

        /**
         * Adds a section to the state dump.
         *
         * @param section the section
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder section(StateSection section) {
            sections.add(section);
            return this;
        }

        /**
         * Sets the readiness check; the default is always ready.
         *
         * @param value returns whether the process is ready; called for each request to {@code /ready}
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder ready(BooleanSupplier value) {
            ready = value;
            return this;
        }

        /**
         * Sets the action that starts a graceful shutdown; the default does nothing.
         *
         * @param value called once for each request to {@code /drain}
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder drain(Runnable value) {
            drain = value;
            return this;
        }

        /**
         * Builds the server. It does not listen before {@link OperatorServer#start()}.
         *
         * @return the server
         */
        public OperatorServer build() {
            return new OperatorServer(this);
        }
    }

    // ------------------------------------------------------------------ lifecycle

    /** Starts listening. */
    public void start() {
        server.start();
    }

    @Override
    public void close() {
        server.stop();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the bound address. Available after {@link #start()}.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress boundAddress() {
        return (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    }

    // ------------------------------------------------------------------ internals

    private HttpHandler routes() {
        return new RoutingHandler()
                .get("/health", exchange -> send(exchange, StatusCodes.OK, JSON, "{\"healthy\":true}"))
                .get("/ready", this::sendReadiness)
                .get(
                        "/metrics",
                        exchange ->
                                send(exchange, StatusCodes.OK, MetricsText.CONTENT_TYPE, MetricsText.write(metrics)))
                .get("/dump", new BlockingHandler(this::sendDump))
                .post("/drain", this::startDrain);
    }

    private void sendReadiness(HttpServerExchange exchange) {
        boolean isReady = ready.getAsBoolean();
        int status = isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
        send(exchange, status, JSON, "{\"ready\":" + isReady + "}");
    }

    private void sendDump(HttpServerExchange exchange) throws JsonProcessingException {
        send(exchange, StatusCodes.OK, StateDump.CONTENT_TYPE, StateDump.write(sections));
    }

    private void startDrain(HttpServerExchange exchange) {
        drain.run();
        send(exchange, StatusCodes.ACCEPTED, JSON, "{\"draining\":true}");
    }

    private static void send(HttpServerExchange exchange, int status, String contentType, String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(body);
    }
}
