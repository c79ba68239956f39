package org.merlinwood.gateway.process;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.operation.metric.MetricsText;

/** Responds to the readiness check of the platform and to requests for the metrics. Confined to the event loop. */
final class OperatorHandler implements HttpHandler {

    private final MetricRegistry metrics;
    private final FleetState fleet;
    private final DrainPolicy drainPolicy;

    /**
     * Creates a handler.
     *
     * @param metrics the metrics of the process
     * @param fleet routes and registered instances; an entry is ready once it can serve requests
     * @param drainPolicy an entry that drains is not ready
     */
    OperatorHandler(MetricRegistry metrics, FleetState fleet, DrainPolicy drainPolicy) {
        this.metrics = metrics;
        this.fleet = fleet;
        this.drainPolicy = drainPolicy;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (exchange.getRequestPath().endsWith("/metrics")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MetricsText.CONTENT_TYPE);
            exchange.getResponseSender().send(MetricsText.write(metrics));
            return;
        }
        boolean ready = fleet.canServeRequests() && !drainPolicy.draining();
        exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }
}
