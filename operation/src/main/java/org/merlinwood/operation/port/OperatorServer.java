package org.merlinwood.operation.port;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.undertow.Undertow;
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

/** Serves the operators' port of one process. Built, started and closed once; thread-safe. */
public final class OperatorServer implements AutoCloseable {

    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 2;
    private static final String JSON = "application/json";
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);

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
                .addHttpListener(builder.address.getPort(), builder.address.getHostString())
                .setHandler(routes())
                .build();
    }

    /**
     * Returns a builder.
     *
     * @param address numeric address to listen on
     * @param metrics the registry to serve
     * @return a new builder
     */
    public static Builder builder(InetSocketAddress address, MetricRegistry metrics) {
        return new Builder(address, metrics);
    }

    /** Collects the configuration. Used by one thread. */
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
         * Adds a section to the dump.
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
         * Sets what tells whether the process serves.
         *
         * @param value called for each question
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder ready(BooleanSupplier value) {
            ready = value;
            return this;
        }

        /**
         * Sets what starts a graceful shutdown.
         *
         * @param value called at most once for each request
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder drain(Runnable value) {
            drain = value;
            return this;
        }

        /**
         * Builds the server; it does not listen before it is started.
         *
         * @return the server
         */
        public OperatorServer build() {
            return new OperatorServer(this);
        }
    }

    // ------------------------------------------------------------------ life-cycle

    /** Starts to listen. */
    public void start() {
        server.start();
    }

    @Override
    public void close() {
        server.stop();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the address that was bound.
     *
     * @return the address with its port
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
        ObjectNode dump = MAPPER.createObjectNode();
        sections.forEach(section -> dump.set(section.name(), MAPPER.valueToTree(section.state())));
        send(exchange, StatusCodes.OK, JSON, MAPPER.writeValueAsString(dump));
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
