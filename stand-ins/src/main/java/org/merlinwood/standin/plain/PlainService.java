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
 * Stand-in of a plain service: hydrant look-ups, bookings, review status and replies, with a ledger of every run.
 * Thread-safe; serves from construction until closed or crashed.
 *
 * <p>It runs whatever it is sent, as often as it is sent: it knows no idempotency keys itself. Markers of
 * {@link PlainFault} in a body, or {@code ?fault=NAME} and {@code ?millis=N} in a query, make it fail or take long.
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

    /** What a crash does. */
    public enum CrashMode {
        /** Ends the whole process. */
        HALT_PROCESS,
        /** Closes the server and all its connections; the process lives on. */
        CLOSE_SERVER
    }

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts a service.
     *
     * @param listen public address; port 0 lets the system choose
     * @param administrationListen address for commands
     * @param name named in its answers
     * @param concurrency calls that it says it takes at once
     * @param ledgerFile keeps the ledger over a crash, or empty
     * @param crashMode what a crash does
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

    /** Ends the service as a fault of its own would. */
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
     * Returns what really ran.
     *
     * @return the ledger as it stands
     */
    public PlainLedger ledger() {
        return new PlainLedger(ledger.all());
    }

    // ------------------------------------------------------------------ internals: routes

    private HttpHandler publicRoutes() {
        return Handlers.routing()
                .get("/hydrants/{id}", exchange -> run(exchange, 200, sequence -> new Hydrant(id(exchange), "WORKING")))
                .post("/bookings", exchange -> run(exchange, 201, sequence -> new Booking(numbered("B", sequence))))
                .get(
                        "/reviews/{id}/status",
                        exchange -> run(exchange, 200, sequence -> new ReviewStatus(id(exchange), "OPEN")))
                .post("/replies", exchange -> run(exchange, 201, sequence -> new Reply(numbered("R", sequence))))
                .get("/load", exchange -> StandInServer.answer(exchange, 200, new Load(running.get(), concurrency)))
                .get("/ledger", exchange -> StandInServer.answer(exchange, 200, ledger()));
    }

    private HttpHandler administrationRoutes() {
        return Handlers.routing()
                .post("/crash", exchange -> crash())
                .get("/ledger", exchange -> StandInServer.answer(exchange, 200, ledger()));
    }

    // ------------------------------------------------------------------ internals: runs

    private void run(HttpServerExchange exchange, int status, Answer answer) throws IOException, InterruptedException {
        byte[] body = StandInServer.body(exchange);
        String text = new String(body, StandardCharsets.UTF_8);
        PlainFault fault = StandInServer.parameter(exchange, "fault")
                .map(PlainFault::valueOf)
                .orElse(PlainFault.in(text));
        long millis = StandInServer.number(exchange, "millis", PlainFault.millisIn(text));
        if (fault == PlainFault.CRASH_BEFORE_RUN) {
            crash();
            return;
        }
        running.incrementAndGet();
        try {
            PlainRun started = start(exchange, body);
            Sleep.millis(millis);
            PlainRun ran = started.ran(clock.wallMillis());
            ledger.record(ran);
            finish(exchange, ran, fault, status, answer);
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

    private void finish(HttpServerExchange exchange, PlainRun ran, PlainFault fault, int status, Answer answer)
            throws IOException {
        switch (fault) {
            case CRASH_BEFORE_RUN, CRASH_AFTER_RUN -> crash();
            case ERROR -> reply(exchange, ran, 500, new Hydrant("none", "ERROR"));
            case TRUNCATE -> sendHalf(exchange, Json.line(answer.to(ran.sequence())));
            case GARBAGE -> sendGarbage(exchange);
            case NONE -> reply(exchange, ran, status, answer.to(ran.sequence()));
        }
    }

    private void reply(HttpServerExchange exchange, PlainRun ran, int status, Object body) {
        ledger.record(ran.answered(status));
        StandInServer.answer(exchange, status, body);
    }

    private static void sendHalf(HttpServerExchange exchange, byte[] whole) throws IOException {
        exchange.setResponseContentLength(whole.length);
        OutputStream output = exchange.getOutputStream();
        output.write(whole, 0, whole.length / 2);
        output.flush();
        StandInServer.cut(exchange);
    }

    private static void sendGarbage(HttpServerExchange exchange) {
        StandInServer.writeRaw(exchange, "garbage without a status line\r\n\r\n");
        StandInServer.cut(exchange);
    }

    private String numbered(String letter, long sequence) {
        return letter + "-" + name + "-" + sequence;
    }

    private static String id(HttpServerExchange exchange) {
        return StandInServer.parameter(exchange, "id").orElse("");
    }

    // ------------------------------------------------------------------ internals: bodies

    private interface Answer {
        Object to(long sequence);
    }

    /** Status of a hydrant. */
    public record Hydrant(String hydrant, String status) {}

    /** Number of a repair booking. */
    public record Booking(String booking) {}

    /** Status of a review. */
    public record ReviewStatus(String review, String status) {}

    /** Number of a published reply. */
    public record Reply(String reply) {}

    /** Calls that run now, and how many the service takes at once. */
    public record Load(int running, int concurrency) {}
}
