package org.merlinwood.gateway.front;

import io.undertow.server.HttpHandler;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.CrashHistory;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.RetryAllowance;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.gateway.request.CallerProtocol;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.HttpClient;
import org.merlinwood.operation.log.DecisionLog;

/** Makes the handler of callers' connections. Used once, at the start of a process. */
public final class FrontHandlerFactory {

    /** Largest body while no configuration sets a limit, in bytes. */
    private static final long DEFAULT_BODY_BYTES = 4L << 20;

    private final RequestProcessorContext context;

    /**
     * Collects what requests use.
     *
     * @param loop the thread of all requests
     * @param clock the time
     * @param client sends calls
     * @param protocol writes them
     * @param fleet routes and instances
     * @param pool load and health of instances
     * @param allowance repeats that may still be sent
     * @param crashes requests that crashed instances
     * @param meter what callers ask of each model service
     * @param log a line for each decision
     * @param metrics counters and times
     */
    public FrontHandlerFactory(
            EventLoop loop,
            MillisClock clock,
            HttpClient client,
            UpstreamProtocol protocol,
            FleetState fleet,
            InstancePool pool,
            RetryAllowance allowance,
            CrashHistory crashes,
            DemandMeter meter,
            DecisionLog log,
            RequestMetrics metrics) {
        context = new RequestProcessorContext(
                loop,
                clock,
                client,
                protocol,
                fleet,
                pool,
                allowance,
                crashes,
                meter,
                new MemoryWaitQueues(loop, clock),
                log,
                metrics);
    }

    /**
     * Makes the handler.
     *
     * @param protocol reads requests
     * @param departure whether the process is about to end
     * @param open counts requests
     * @return the handler, for the event loop's thread
     */
    public HttpHandler handler(CallerProtocol protocol, DrainPolicy departure, OpenRequests open) {
        return new FrontHandler(
                new RequestDispatcher(context, departure),
                protocol,
                context.clock(),
                this::maximumBodyBytes,
                departure,
                open);
    }

    private long maximumBodyBytes() {
        return context.fleet().routes().map(RouteTable::maximumBodyBytes).orElse(DEFAULT_BODY_BYTES);
    }
}
