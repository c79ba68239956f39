package org.merlinwood.standin.engine;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import org.merlinwood.standin.StandIn;
import org.merlinwood.standin.engine.impl.EngineBodies.DecodeRequest;
import org.merlinwood.standin.engine.impl.EngineBodies.Order;
import org.merlinwood.standin.engine.impl.EngineBodies.PrefillRequest;
import org.merlinwood.standin.engine.impl.EngineCore;
import org.merlinwood.standin.engine.impl.EngineFaults.AnswerFault;
import org.merlinwood.standin.engine.impl.LoadedModels.OrderResponse;
import org.merlinwood.standin.impl.Json;
import org.merlinwood.standin.impl.StandInServer;

/**
 * Stand-in for a model engine: continuous batching, memory in pieces, prefix cache, export and import of KV caches,
 * orders, and a ledger of what really ran. Thread-safe; serves from construction until closed or crashed.
 *
 * <p>A prompt that contains {@code [crash-engine]} crashes any engine that runs it; {@code [crash-decode]} crashes only
 * an engine that decodes it.
 */
public final class ModelEngine implements StandIn {

    private static final int HALT_STATUS = 70;
    private static final double NORMAL_SPEED = 1;

    private final EngineOptions options;
    private final EngineCore core;
    private final StandInServer server;
    private final StandInServer administration;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts an engine.
     *
     * @param listen public address; port 0 selects a free port
     * @param administrationListen address of the administration port
     * @param options behaviour of the engine
     * @param ledgerFile file that preserves the ledger across crashes, or empty
     */
    public ModelEngine(
            InetSocketAddress listen,
            InetSocketAddress administrationListen,
            EngineOptions options,
            Optional<Path> ledgerFile) {
        this.options = options;
        this.core = new EngineCore(options, ledgerFile, this::crash);
        this.server = new StandInServer(listen, publicRoutes());
        this.administration = new StandInServer(administrationListen, administrationRoutes());
    }

    /** Crashes the engine, as {@link EngineOptions#crashMode()} says, and ends all runs at once. */
    public void crash() {
        core.recordCrash();
        switch (options.crashMode()) {
            case HALT_PROCESS -> Runtime.getRuntime().halt(HALT_STATUS);
            case CLOSE_SERVER -> Thread.ofPlatform().name("engine-crash").start(this::stopServing);
        }
    }

    @Override
    public void close() {
        stopServing();
        administration.close();
    }

    private void stopServing() {
        server.close();
        core.close();
    }

    // ------------------------------------------------------------------ public API

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public InetSocketAddress administrationAddress() {
        return administration.address();
    }

    /**
     * Returns the ledger of the runs that were really executed.
     *
     * @return a snapshot
     */
    public EngineLedger ledger() {
        return core.work().ledger();
    }

    // ------------------------------------------------------------------ internals: routes

    private HttpHandler publicRoutes() {
        HttpHandler routes = Handlers.routing()
                .post("/v1/prefill", exchange -> core.prefill(exchange, readBody(exchange, PrefillRequest.class)))
                .post("/v1/decode", exchange -> core.decode(exchange, readBody(exchange, DecodeRequest.class)))
                .delete("/v1/streams/{request}", this::cancel)
                .get("/v1/streams", exchange -> StandInServer.respond(exchange, 200, core.streams()))
                .get("/v1/load", exchange -> StandInServer.respond(exchange, 200, core.load()))
                .get("/v1/cache-events", this::cacheEvents)
                .get("/v1/kv/{handle}", exchange -> core.results().export(exchange, parameter(exchange, "handle")))
                .post("/v1/orders", this::order)
                .get(
                        "/v1/models",
                        exchange -> StandInServer.respond(
                                exchange, 200, core.models().state()))
                .get("/ledger", this::respondLedger);
        return exchange -> {
            core.faults().awaitNotSilent();
            routes.handleRequest(exchange);
        };
    }

    private HttpHandler administrationRoutes() {
        return Handlers.routing()
                .post("/next-answer", this::setNextFault)
                .post(
                        "/silent",
                        exchange -> acknowledge(exchange, () -> core.faults().silent(true)))
                .post(
                        "/audible",
                        exchange -> acknowledge(exchange, () -> core.faults().silent(false)))
                .post("/slow", this::setSpeed)
                .post("/crash", exchange -> acknowledge(exchange, this::crash))
                .get(
                        "/orders",
                        exchange -> StandInServer.respond(
                                exchange, 200, core.models().applied()))
                .get("/ledger", this::respondLedger);
    }

    private void cancel(HttpServerExchange exchange) {
        core.work().cancel(parameter(exchange, "request"));
        StandInServer.respond(exchange, 204);
    }

    private void cacheEvents(HttpServerExchange exchange) {
        StandInServer.respond(exchange, 200, core.events().after(StandInServer.longParameter(exchange, "after", 0)));
    }

    private void order(HttpServerExchange exchange) throws IOException, InterruptedException {
        OrderResponse response = core.models().apply(readBody(exchange, Order.class));
        StandInServer.respond(exchange, response.status(), response.body());
    }

    private void respondLedger(HttpServerExchange exchange) {
        StandInServer.respond(exchange, 200, ledger());
    }

    private void setNextFault(HttpServerExchange exchange) {
        String name = StandInServer.parameter(exchange, "fault").orElse("TRUNCATE");
        core.faults().nextFault(AnswerFault.valueOf(name.toUpperCase(Locale.ROOT)));
        StandInServer.respond(exchange, 204);
    }

    private void setSpeed(HttpServerExchange exchange) {
        String factor = StandInServer.parameter(exchange, "factor").orElse(String.valueOf(NORMAL_SPEED));
        acknowledge(exchange, () -> core.faults().slowFactor(Double.parseDouble(factor)));
    }

    private static void acknowledge(HttpServerExchange exchange, Runnable action) {
        action.run();
        StandInServer.respond(exchange, 204);
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        return StandInServer.parameter(exchange, name).orElse("");
    }

    private static <T> T readBody(HttpServerExchange exchange, Class<T> type) throws IOException {
        return Json.read(StandInServer.readBody(exchange), type);
    }
}
