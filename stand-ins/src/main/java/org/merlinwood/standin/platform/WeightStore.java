package org.merlinwood.standin.platform;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.standin.StandIn;
import org.merlinwood.standin.impl.RateLimit;
import org.merlinwood.standin.impl.RequestCounts;
import org.merlinwood.standin.impl.StandInServer;

/** Stand-in for the platform's weight store, with a rate limit. Thread-safe; serves until closed. */
public final class WeightStore implements StandIn {

    private static final HttpString RETRY_AFTER = HttpString.tryFromString("Retry-After-Millis");

    private final List<String> served = new CopyOnWriteArrayList<>();
    private final RateLimit limit;
    private final int weightBytes;
    private final StandInServer server;
    private final StandInServer administration;

    /**
     * Starts a weight store.
     *
     * @param listen public address; port 0 selects a free port
     * @param administrationListen address of the administration port
     * @param weightBytes size of each weight file, in bytes; the content is zeros
     * @param requestsPerSecond requests allowed in one second, positive
     */
    public WeightStore(
            InetSocketAddress listen, InetSocketAddress administrationListen, int weightBytes, long requestsPerSecond) {
        this.weightBytes = weightBytes;
        this.limit = new RateLimit(SystemMillisClock.shared(), requestsPerSecond);
        this.server = new StandInServer(listen, Handlers.routing().get("/v1/weights/{name}", this::sendWeights));
        this.administration = new StandInServer(administrationListen, administrationRoutes());
    }

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public InetSocketAddress administrationAddress() {
        return administration.address();
    }

    /**
     * Returns the request counts of the public port since the start.
     *
     * @return a snapshot
     */
    public RequestCounts counts() {
        return limit.counts();
    }

    /**
     * Returns the names of the weights that were sent.
     *
     * @return a copy, sorted by time of sending
     */
    public List<String> served() {
        return List.copyOf(served);
    }

    @Override
    public void close() {
        server.close();
        administration.close();
    }

    private HttpHandler administrationRoutes() {
        return Handlers.routing()
                .get("/calls", exchange -> StandInServer.respond(exchange, 200, counts()))
                .get("/served", exchange -> StandInServer.respond(exchange, 200, served()));
    }

    private void sendWeights(HttpServerExchange exchange) {
        if (!limit.tryAcquire()) {
            exchange.getResponseHeaders().put(RETRY_AFTER, limit.retryAfterMillis());
            StandInServer.respond(exchange, StatusCodes.TOO_MANY_REQUESTS);
            return;
        }
        served.add(StandInServer.parameter(exchange, "name").orElse(""));
        StandInServer.send(exchange, new byte[weightBytes]);
    }
}
