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
import org.merlinwood.standin.impl.ErrorBody;
import org.merlinwood.standin.impl.Json;
import org.merlinwood.standin.impl.RateLimit;
import org.merlinwood.standin.impl.RequestCounts;
import org.merlinwood.standin.impl.StandInServer;

/**
 * Stand-in for the platform's configuration service. The public port only allows reading and watching; documents are
 * published on the administration port. Thread-safe; serves until closed.
 *
 * <p>A waiting watch counts as one request against the rate limit.
 */
public final class ConfigurationService implements StandIn {

    private static final long MAXIMUM_WAIT_MILLIS = 60_000;
    private static final int MAXIMUM_CONTENT_BYTES = 1 << 20;

    private final MillisClock clock = SystemMillisClock.shared();
    private final Map<String, DocumentHistory> documents =
            Map.of("inventory", new DocumentHistory(clock), "rules", new DocumentHistory(clock));
    private final ArrayDeque<ScheduledList> scheduledLists = new ArrayDeque<>();
    private final RateLimit limit;
    private final StandInServer server;
    private final StandInServer administration;
    private volatile long listLagMillis;
    private volatile boolean down;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts a service without documents.
     *
     * @param listen public address; port 0 selects a free port
     * @param administrationListen address of the administration port
     * @param requestsPerSecond requests allowed in one second on the public port, positive
     * @param listLagMillis delay until a new list of instances becomes visible, in milliseconds
     */
    public ConfigurationService(
            InetSocketAddress listen,
            InetSocketAddress administrationListen,
            long requestsPerSecond,
            long listLagMillis) {
        this.limit = new RateLimit(clock, requestsPerSecond);
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
     * Publishes the next revision of a document and wakes its watches.
     *
     * @param name {@code inventory} or {@code rules}
     * @param content text of the document, at most 1 MiB in UTF-8
     * @return the published revision
     * @throws IllegalArgumentException if the name is unknown or the content too long
     */
    public PublishedDocument publish(String name, String content) {
        if (content.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_CONTENT_BYTES) {
            throw new IllegalArgumentException("the document is longer than " + MAXIMUM_CONTENT_BYTES + " bytes");
        }
        return history(name).publish(content);
    }

    /**
     * Hides later revisions of a document, as a stale replica does.
     *
     * @param name {@code inventory} or {@code rules}
     * @param revision highest visible revision; {@link Long#MAX_VALUE} for all
     */
    public void showUpTo(String name, long revision) {
        history(name).showUpTo(revision);
    }

    /**
     * Makes the public port refuse all requests with status 503, or serve again. Ends all waiting watches.
     *
     * @param value true to refuse requests
     */
    public void down(boolean value) {
        down = value;
        documents.values().forEach(DocumentHistory::wake);
    }

    /**
     * Replaces the list of instances. The new list becomes visible after the lag.
     *
     * @param list the new list
     */
    public synchronized void setInstanceList(InstanceList list) {
        scheduledLists.addLast(new ScheduledList(clock.monotonicMillis() + listLagMillis, list));
    }

    /**
     * Returns the request counts of the public port since the start.
     *
     * @return a snapshot
     */
    public RequestCounts counts() {
        return limit.counts();
    }

    // ------------------------------------------------------------------ internals: public port

    private HttpHandler publicRoutes() {
        HttpHandler routes = Handlers.routing()
                .get("/v1/documents/{name}", this::readDocument)
                .get("/v1/instances", exchange -> StandInServer.respond(exchange, 200, visibleInstances()));
        return exchange -> {
            if (!limit.tryAcquire()) {
                StandInServer.respond(exchange, StatusCodes.TOO_MANY_REQUESTS, new ErrorBody("rate"));
            } else if (down) {
                StandInServer.respond(exchange, StatusCodes.SERVICE_UNAVAILABLE, new ErrorBody("down"));
            } else {
                routes.handleRequest(exchange);
            }
        };
    }

    private void readDocument(HttpServerExchange exchange) throws InterruptedException {
        DocumentHistory history = history(documentName(exchange));
        boolean watching = StandInServer.parameter(exchange, "after").isPresent();
        Optional<PublishedDocument> document = watching ? awaitDocument(exchange, history) : history.latestVisible();
        if (down) {
            StandInServer.respond(exchange, StatusCodes.SERVICE_UNAVAILABLE, new ErrorBody("down"));
        } else if (document.isPresent()) {
            StandInServer.respond(exchange, StatusCodes.OK, document.get());
        } else {
            StandInServer.respond(exchange, watching ? StatusCodes.NOT_MODIFIED : StatusCodes.NOT_FOUND);
        }
    }

    private static Optional<PublishedDocument> awaitDocument(HttpServerExchange exchange, DocumentHistory history)
            throws InterruptedException {
        long after = StandInServer.longParameter(exchange, "after", 0);
        long waitMillis = Math.min(StandInServer.longParameter(exchange, "waitMillis", 0), MAXIMUM_WAIT_MILLIS);
        return history.awaitAfter(after, waitMillis);
    }

    private synchronized InstanceList visibleInstances() {
        long now = clock.monotonicMillis();
        while (scheduledLists.size() > 1 && secondList().visibleFromMillis <= now) {
            scheduledLists.removeFirst();
        }
        ScheduledList first = scheduledLists.peekFirst();
        boolean visible = first != null && first.visibleFromMillis <= now;
        return visible ? first.list : new InstanceList(List.of());
    }

    private ScheduledList secondList() {
        return scheduledLists.stream().skip(1).findFirst().orElseThrow();
    }

    // ------------------------------------------------------------------ internals: administration

    private HttpHandler administrationRoutes() {
        return Handlers.routing()
                .put("/v1/documents/{name}", this::handlePublish)
                .put("/v1/instances", this::handleInstanceList)
                .post("/stale/{name}", this::handleStale)
                .post("/down", exchange -> handleDown(exchange, true))
                .post("/up", exchange -> handleDown(exchange, false))
                .post("/lag", this::handleListLag)
                .get("/calls", exchange -> StandInServer.respond(exchange, 200, counts()));
    }

    private void handlePublish(HttpServerExchange exchange) throws IOException {
        byte[] body = StandInServer.readBody(exchange);
        if (body.length > MAXIMUM_CONTENT_BYTES) {
            StandInServer.respond(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE, new ErrorBody("size"));
            return;
        }
        PublishedDocument document = publish(documentName(exchange), new String(body, StandardCharsets.UTF_8));
        StandInServer.respond(exchange, 200, new Published(document.revision()));
    }

    private void handleInstanceList(HttpServerExchange exchange) throws IOException {
        setInstanceList(Json.read(StandInServer.readBody(exchange), InstanceList.class));
        StandInServer.respond(exchange, 204);
    }

    private void handleStale(HttpServerExchange exchange) {
        showUpTo(documentName(exchange), StandInServer.longParameter(exchange, "revision", Long.MAX_VALUE));
        StandInServer.respond(exchange, 204);
    }

    private void handleDown(HttpServerExchange exchange, boolean value) {
        down(value);
        StandInServer.respond(exchange, 204);
    }

    private void handleListLag(HttpServerExchange exchange) {
        listLagMillis = StandInServer.longParameter(exchange, "millis", 0);
        StandInServer.respond(exchange, 204);
    }

    private static String documentName(HttpServerExchange exchange) {
        return StandInServer.parameter(exchange, "name").orElse("");
    }

    private DocumentHistory history(String name) {
        DocumentHistory history = documents.get(name);
        if (history == null) {
            throw new IllegalArgumentException("unknown document '" + name + "'");
        }
        return history;
    }

    /**
     * Response to a publication.
     *
     * @param revision revision of the published document
     */
    public record Published(long revision) {}

    private record ScheduledList(long visibleFromMillis, InstanceList list) {}
}
