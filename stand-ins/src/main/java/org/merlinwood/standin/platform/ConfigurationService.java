package org.merlinwood.standin.platform;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.standin.StandIn;
import org.merlinwood.standin.impl.CallCounts;
import org.merlinwood.standin.impl.ErrorBody;
import org.merlinwood.standin.impl.Json;
import org.merlinwood.standin.impl.RateLimit;
import org.merlinwood.standin.impl.StandInServer;

/**
 * Stand-in of the platform's configuration service. Its public port can only be read and watched; documents are
 * published on the administration port. Thread-safe; serves until closed.
 *
 * <p>A watch that waits counts as one call against the limit.
 */
public final class ConfigurationService implements StandIn {

    private static final long MAXIMUM_WAIT_MILLIS = 60_000;
    private static final int MAXIMUM_CONTENT_BYTES = 1 << 20;

    private final MillisClock clock = SystemMillisClock.shared();
    private final Map<String, DocumentHistory> documents =
            Map.of("inventory", new DocumentHistory(clock), "rules", new DocumentHistory(clock));
    private final ArrayDeque<TimedList> lists = new ArrayDeque<>();
    private final RateLimit limit;
    private final StandInServer server;
    private final StandInServer administration;
    private volatile long listLagMillis;
    private volatile boolean down;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts a service without documents.
     *
     * @param listen public address; port 0 lets the system choose
     * @param administrationListen address for commands
     * @param callsPerSecond calls that it allows in a second
     * @param listLagMillis how old the list of instances is, in milliseconds
     */
    public ConfigurationService(
            InetSocketAddress listen, InetSocketAddress administrationListen, long callsPerSecond, long listLagMillis) {
        this.limit = new RateLimit(clock, callsPerSecond);
        this.listLagMillis = listLagMillis;
        this.server = new StandInServer(listen, publicRoutes());
        this.administration = new StandInServer(administrationListen, administrationRoutes());
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
     * Publishes a document.
     *
     * @param name {@code inventory} or {@code rules}
     * @param content text of the document, at most a megabyte
     * @return its revision
     */
    public PublishedDocument publish(String name, String content) {
        if (content.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_CONTENT_BYTES) {
            throw new IllegalArgumentException("a document has at most " + MAXIMUM_CONTENT_BYTES + " bytes");
        }
        return history(name).publish(content);
    }

    /**
     * Shows documents only up to a revision, as a stale replica does.
     *
     * @param name {@code inventory} or {@code rules}
     * @param revision the highest that is shown; {@link Long#MAX_VALUE} shows all
     */
    public void showUpTo(String name, long revision) {
        history(name).showUpTo(revision);
    }

    /**
     * Refuses every call, or serves again.
     *
     * @param value true to refuse
     */
    public void down(boolean value) {
        down = value;
        documents.values().forEach(DocumentHistory::wake);
    }

    /**
     * Replaces the list of instances; shown after the lag.
     *
     * @param list the list
     */
    public synchronized void list(InstanceList list) {
        lists.addLast(new TimedList(clock.monotonicMillis() + listLagMillis, list));
    }

    /**
     * Returns the calls so far.
     *
     * @return all calls, and those over the limit
     */
    public CallCounts counts() {
        return limit.counts();
    }

    // ------------------------------------------------------------------ internals: public port

    private HttpHandler publicRoutes() {
        HttpHandler routes = Handlers.routing()
                .get("/v1/documents/{name}", this::read)
                .get("/v1/instances", exchange -> StandInServer.answer(exchange, 200, shownList()));
        return exchange -> {
            if (!limit.tryCall()) {
                StandInServer.answer(exchange, StatusCodes.TOO_MANY_REQUESTS, new ErrorBody("rate"));
            } else if (down) {
                StandInServer.answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, new ErrorBody("down"));
            } else {
                routes.handleRequest(exchange);
            }
        };
    }

    private void read(HttpServerExchange exchange) throws InterruptedException {
        DocumentHistory history = history(name(exchange));
        boolean watching = StandInServer.parameter(exchange, "after").isPresent();
        Optional<PublishedDocument> document = watching ? await(exchange, history) : history.shown();
        if (down) {
            StandInServer.answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, new ErrorBody("down"));
        } else if (document.isPresent()) {
            StandInServer.answer(exchange, StatusCodes.OK, document.get());
        } else {
            StandInServer.answer(exchange, watching ? StatusCodes.NOT_MODIFIED : StatusCodes.NOT_FOUND);
        }
    }

    private static Optional<PublishedDocument> await(HttpServerExchange exchange, DocumentHistory history)
            throws InterruptedException {
        long after = StandInServer.number(exchange, "after", 0);
        long waitMillis = Math.min(StandInServer.number(exchange, "waitMillis", 0), MAXIMUM_WAIT_MILLIS);
        return history.awaitAfter(after, waitMillis);
    }

    private synchronized InstanceList shownList() {
        long now = clock.monotonicMillis();
        while (lists.size() > 1 && second().shownFromMillis <= now) {
            lists.removeFirst();
        }
        TimedList first = lists.peekFirst();
        boolean shown = first != null && first.shownFromMillis <= now;
        return shown ? first.list : new InstanceList(List.of());
    }

    private TimedList second() {
        return lists.stream().skip(1).findFirst().orElseThrow();
    }

    // ------------------------------------------------------------------ internals: administration

    private HttpHandler administrationRoutes() {
        return Handlers.routing()
                .put("/v1/documents/{name}", this::publishBody)
                .put("/v1/instances", this::listBody)
                .post("/stale/{name}", this::stale)
                .post("/down", exchange -> switchDown(exchange, true))
                .post("/up", exchange -> switchDown(exchange, false))
                .post("/lag", this::lag)
                .get("/calls", exchange -> StandInServer.answer(exchange, 200, counts()));
    }

    private void publishBody(HttpServerExchange exchange) throws IOException {
        byte[] body = StandInServer.body(exchange);
        if (body.length > MAXIMUM_CONTENT_BYTES) {
            StandInServer.answer(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE, new ErrorBody("size"));
            return;
        }
        PublishedDocument document = publish(name(exchange), new String(body, StandardCharsets.UTF_8));
        StandInServer.answer(exchange, 200, new Published(document.revision()));
    }

    private void listBody(HttpServerExchange exchange) throws IOException {
        list(Json.read(StandInServer.body(exchange), InstanceList.class));
        StandInServer.answer(exchange, 204);
    }

    private void stale(HttpServerExchange exchange) {
        showUpTo(name(exchange), StandInServer.number(exchange, "revision", Long.MAX_VALUE));
        StandInServer.answer(exchange, 204);
    }

    private void switchDown(HttpServerExchange exchange, boolean value) {
        down(value);
        StandInServer.answer(exchange, 204);
    }

    private void lag(HttpServerExchange exchange) {
        listLagMillis = StandInServer.number(exchange, "millis", 0);
        StandInServer.answer(exchange, 204);
    }

    private static String name(HttpServerExchange exchange) {
        return StandInServer.parameter(exchange, "name").orElse("");
    }

    private DocumentHistory history(String name) {
        DocumentHistory history = documents.get(name);
        if (history == null) {
            throw new IllegalArgumentException("no document is named '" + name + "'");
        }
        return history;
    }

    /**
     * Says which revision a document got.
     *
     * @param revision the revision
     */
    public record Published(long revision) {}

    private record TimedList(long shownFromMillis, InstanceList list) {}
}
