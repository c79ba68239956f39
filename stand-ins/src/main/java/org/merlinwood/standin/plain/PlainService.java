package org.merlinwood.standin.plain;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.codec.digest.DigestUtils;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.standin.StandIn;
import org.merlinwood.standin.impl.Json;
import org.merlinwood.standin.impl.Ledger;
import org.merlinwood.standin.impl.Sleep;
import org.merlinwood.standin.impl.StandInServer;

/**
 * Stand-in for a plain service: hydrant look-ups, bookings, review status and replies, with a ledger of every run.
 * Thread-safe; serves from construction until closed or crashed.
 *
 * <p>Runs every request that it receives, repeated ones included: it only records idempotency keys and does not
 * evaluate them. The markers of {@link PlainFault} in a body, or {@code ?fault=NAME} and {@code ?millis=N} in a query,
 * make a request fail or take longer.
 */
public final class PlainService implements StandIn {

    private static final int HALT_STATUS = 70;
    private static final String KEY_HEADER = "Idempotency-Key";

    private final MillisClock clock = SystemMillisClock.shared();
    private final AtomicInteger running = new AtomicInteger();
    private final Ledger<PlainRun> ledger;
    private final String name;
    private final int concurrency;
    private final CrashMode crashMode;
    private final StandInServer server;
    private final StandInServer administration;

    /** Effect of a crash. */
    public enum CrashMode {
        /** Halts the process. */
        HALT_PROCESS,
        /** Closes the server and all its connections; the process keeps running. */
        CLOSE_SERVER
    }

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts a service.
     *
     * @param listen public address; port 0 selects a free port
     * @param administrationListen address of the administration port
     * @param name name of the service, included in its responses
     * @param concurrency concurrency limit that it reports with its load; not enforced
     * @param ledgerFile file that preserves the ledger across crashes, or empty
     * @param crashMode effect of a crash
     */
    public PlainService(
            InetSocketAddress listen,
            InetSocketAddress administrationListen,
            String name,
            int concurrency,
            Optional<Path> ledgerFile,
            CrashMode crashMode) {
        this.name = name;
        this.concurrency = concurrency;
        this.crashMode = crashMode;
        this.ledger = new Ledger<>(ledgerFile, PlainRun.class);
        this.server = new StandInServer(listen, publicRoutes());
        this.administration = new StandInServer(administrationListen, administrationRoutes());
    }

    /** Crashes the service, as {@link CrashMode} says. */
    public void crash() {
        switch (crashMode) {
            case HALT_PROCESS -> Runtime.getRuntime().halt(HALT_STATUS);
            case CLOSE_SERVER -> server.close();
        }
    }

    @Override
    public void close() {
        server.close();
        administration.close();
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
     * Returns the ledger of the requests that really ran.
     *
     * @return a snapshot
     */
    public PlainLedger ledger() {
        return new PlainLedger(ledger.all());
    }

    // ------------------------------------------------------------------ internals: routes

    private HttpHandler publicRoutes() {
        return Handlers.routing()
                .get("/hydrants/{id}", exchange -> run(exchange, 200, sequence -> new Hydrant(id(exchange), "WORKING")))
                .post(
                        "/bookings",
                        exchange -> run(exchange, 201, sequence -> new Booking(formatIdentifier("B", sequence))))
                .get(
                        "/reviews/{id}/status",
                        exchange -> run(exchange, 200, sequence -> new ReviewStatus(id(exchange), "OPEN")))
                .post(
                        "/replies",
                        exchange -> run(exchange, 201, sequence -> new Reply(formatIdentifier("R", sequence))))
                .get("/load", exchange -> StandInServer.respond(exchange, 200, new Load(running.get(), concurrency)))
                .get("/ledger", exchange -> StandInServer.respond(exchange, 200, ledger()));
    }

    private HttpHandler administrationRoutes() {
        return Handlers.routing()
                .post("/crash", exchange -> crash())
                .get("/ledger", exchange -> StandInServer.respond(exchange, 200, ledger()));
    }

    // ------------------------------------------------------------------ internals: runs

    private void run(HttpServerExchange exchange, int status, ResponseWriter writer)
            throws IOException, InterruptedException {
        byte[] body = StandInServer.readBody(exchange);
        String text = new String(body, StandardCharsets.UTF_8);
        PlainFault fault = StandInServer.parameter(exchange, "fault")
                .map(PlainFault::valueOf)
                .orElse(PlainFault.parse(text));
        long millis = StandInServer.longParameter(exchange, "millis", PlainFault.parseMillis(text));
        if (fault == PlainFault.CRASH_BEFORE_RUN) {
            crash();
            return;
        }
        running.incrementAndGet();
        try {
            PlainRun started = start(exchange, body);
            Sleep.millis(millis);
            PlainRun completed = started.ran(clock.wallMillis());
            ledger.record(completed);
            finish(exchange, completed, fault, status, writer);
        } finally {
            running.decrementAndGet();
        }
    }

    private synchronized PlainRun start(HttpServerExchange exchange, byte[] body) {
        String key = exchange.getRequestHeaders().getFirst(KEY_HEADER);
        PlainRun started = new PlainRun(
                ledger.nextSequence(),
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                key == null ? "" : key,
                DigestUtils.sha256Hex(body),
                clock.wallMillis(),
                0,
                0);
        ledger.record(started);
        return started;
    }

    private void finish(
            HttpServerExchange exchange, PlainRun completed, PlainFault fault, int status, ResponseWriter writer)
            throws IOException {
        switch (fault) {
            case CRASH_BEFORE_RUN, CRASH_AFTER_RUN -> crash();
            case ERROR -> respond(exchange, completed, 500, new Hydrant("none", "ERROR"));
            case TRUNCATE -> sendHalf(exchange, Json.line(writer.bodyFor(completed.sequence())));
            case GARBAGE -> sendGarbage(exchange);
            case NONE -> respond(exchange, completed, status, writer.bodyFor(completed.sequence()));
        }
    }

    private void respond(HttpServerExchange exchange, PlainRun completed, int status, Object body) {
        ledger.record(completed.answered(status));
        StandInServer.respond(exchange, status, body);
    }

    private static void sendHalf(HttpServerExchange exchange, byte[] body) throws IOException {
        exchange.setResponseContentLength(body.length);
        OutputStream output = exchange.getOutputStream();
        output.write(body, 0, body.length / 2);
        output.flush();
        StandInServer.abort(exchange);
    }

    private static void sendGarbage(HttpServerExchange exchange) {
        StandInServer.writeRaw(exchange, "garbage without a status line\r\n\r\n");
        StandInServer.abort(exchange);
    }

    private String formatIdentifier(String prefix, long sequence) {
        return prefix + "-" + name + "-" + sequence;
    }

    private static String id(HttpServerExchange exchange) {
        return StandInServer.parameter(exchange, "id").orElse("");
    }

    // ------------------------------------------------------------------ internals: bodies

    private interface ResponseWriter {
        Object bodyFor(long sequence);
    }

    /** Status of a hydrant. */
    public record Hydrant(String hydrant, String status) {}

    /** Identifier of a repair booking. */
    public record Booking(String booking) {}

    /** Status of a review. */
    public record ReviewStatus(String review, String status) {}

    /** Identifier of a published reply. */
    public record Reply(String reply) {}

    /** Number of running requests, and the concurrency limit that the service reports. */
    public record Load(int running, int concurrency) {}
}
