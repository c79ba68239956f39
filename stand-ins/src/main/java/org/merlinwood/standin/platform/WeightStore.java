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
import org.merlinwood.standin.impl.CallCounts;
import org.merlinwood.standin.impl.RateLimit;
import org.merlinwood.standin.impl.StandInServer;

/** Stand-in of the platform's weight store, with a limit on calls. Thread-safe; serves until closed. */
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
     * @param listen public address; port 0 lets the system choose
     * @param administrationListen address of its counts
     * @param weightBytes size of all weights, in bytes
     * @param callsPerSecond calls that it allows in a second
     */
    public WeightStore(
            InetSocketAddress listen, InetSocketAddress administrationListen, int weightBytes, long callsPerSecond) {
        this.weightBytes = weightBytes;
        this.limit = new RateLimit(SystemMillisClock.shared(), callsPerSecond);
        this.server = new StandInServer(listen, Handlers.routing().get("/v1/weights/{name}", this::weights));
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
     * Returns the calls so far.
     *
     * @return all calls, and those over the limit
     */
    public CallCounts counts() {
        return limit.counts();
    }

    /**
     * Returns the names of weights that were sent, in their order.
     *
     * @return the names
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
                .get("/calls", exchange -> StandInServer.answer(exchange, 200, counts()))
                .get("/served", exchange -> StandInServer.answer(exchange, 200, served()));
    }

    private void weights(HttpServerExchange exchange) {
        if (!limit.tryCall()) {
            exchange.getResponseHeaders().put(RETRY_AFTER, limit.retryAfterMillis());
            StandInServer.answer(exchange, StatusCodes.TOO_MANY_REQUESTS);
            return;
        }
        served.add(StandInServer.parameter(exchange, "name").orElse(""));
        StandInServer.send(exchange, new byte[weightBytes]);
    }
}
