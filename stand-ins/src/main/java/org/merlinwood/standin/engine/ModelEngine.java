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
import org.merlinwood.standin.engine.impl.EngineBodies.DecodeCall;
import org.merlinwood.standin.engine.impl.EngineBodies.Order;
import org.merlinwood.standin.engine.impl.EngineBodies.PrefillCall;
import org.merlinwood.standin.engine.impl.EngineCore;
import org.merlinwood.standin.engine.impl.EngineFaults.AnswerFault;
import org.merlinwood.standin.engine.impl.LoadedModels.OrderAnswer;
import org.merlinwood.standin.impl.Json;
import org.merlinwood.standin.impl.StandInServer;

/**
 * Stand-in of a model engine: continuous batching, memory in pieces, prefix cache, export and import of KV caches,
 * orders, and a ledger of what really ran. Thread-safe; serves from construction until closed or crashed.
 *
 * <p>A prompt that holds {@code [crash-engine]} ends the engine that runs it; {@code [crash-decode]} ends only the
 * engine that decodes it.
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
     * @param listen public address; port 0 lets the system choose
     * @param administrationListen address for commands
     * @param options how it behaves
     * @param ledgerFile keeps the ledger over a crash, or empty
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

    /** Ends the engine as a fault of its own would: at once, with every stream. */
    public void crash() {
        core.crashed();
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
     * Returns what really ran.
     *
     * @return the ledger as it stands
     */
    public EngineLedger ledger() {
        return core.work().ledger();
    }

    // ------------------------------------------------------------------ internals: routes

    private HttpHandler publicRoutes() {
        HttpHandler routes = Handlers.routing()
                .post("/v1/prefill", exchange -> core.prefill(exchange, body(exchange, PrefillCall.class)))
                .post("/v1/decode", exchange -> core.decode(exchange, body(exchange, DecodeCall.class)))
                .delete("/v1/streams/{request}", this::cancel)
                .get("/v1/streams", exchange -> StandInServer.answer(exchange, 200, core.streams()))
                .get("/v1/load", exchange -> StandInServer.answer(exchange, 200, core.load()))
                .get("/v1/cache-events", this::cacheEvents)
                .get("/v1/kv/{handle}", exchange -> core.results().export(exchange, text(exchange, "handle")))
                .post("/v1/orders", this::order)
                .get(
                        "/v1/models",
                        exchange -> StandInServer.answer(
                                exchange, 200, core.models().state()))
                .get("/ledger", this::answerLedger);
        return exchange -> {
            core.faults().awaitAudible();
            routes.handleRequest(exchange);
        };
    }

    private HttpHandler administrationRoutes() {
        return Handlers.routing()
                .post("/next-answer", this::setNextAnswer)
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
                        exchange -> StandInServer.answer(
                                exchange, 200, core.models().obeyed()))
                .get("/ledger", this::answerLedger);
    }

    private void cancel(HttpServerExchange exchange) {
        core.work().cancel(text(exchange, "request"));
        StandInServer.answer(exchange, 204);
    }

    private void cacheEvents(HttpServerExchange exchange) {
        StandInServer.answer(exchange, 200, core.events().after(StandInServer.number(exchange, "after", 0)));
    }

    private void order(HttpServerExchange exchange) throws IOException, InterruptedException {
        OrderAnswer answer = core.models().obey(body(exchange, Order.class));
        StandInServer.answer(exchange, answer.status(), answer.body());
    }

    private void answerLedger(HttpServerExchange exchange) {
        StandInServer.answer(exchange, 200, ledger());
    }

    private void setNextAnswer(HttpServerExchange exchange) {
        String name = StandInServer.parameter(exchange, "fault").orElse("TRUNCATE");
        core.faults().next(AnswerFault.valueOf(name.toUpperCase(Locale.ROOT)));
        StandInServer.answer(exchange, 204);
    }

    private void setSpeed(HttpServerExchange exchange) {
        String factor = StandInServer.parameter(exchange, "factor").orElse(String.valueOf(NORMAL_SPEED));
        acknowledge(exchange, () -> core.faults().slowFactor(Double.parseDouble(factor)));
    }

    private static void acknowledge(HttpServerExchange exchange, Runnable command) {
        command.run();
        StandInServer.answer(exchange, 204);
    }

    private static String text(HttpServerExchange exchange, String name) {
        return StandInServer.parameter(exchange, name).orElse("");
    }

    private static <T> T body(HttpServerExchange exchange, Class<T> type) throws IOException {
        return Json.read(StandInServer.body(exchange), type);
    }
}
