package org.merlinwood.gateway.front;

import io.undertow.server.HttpHandler;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.crash.CrashCausingParts;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.decision.HeldPrompts;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.MemoryCompetition;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.RetryAllowance;
import org.merlinwood.gateway.decision.StreamOrigins;
import org.merlinwood.gateway.decision.VersionHistory;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.follow.StoreConfirmation;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.gateway.request.CallerProtocol;
import org.merlinwood.gateway.upstream.UpstreamClient;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.operation.log.DecisionLog;

/** Creates the Undertow handler of callers' requests. Used once, when the process starts. */
public final class FrontHandlerFactory {

    private final RequestProcessorContext context;
    private final HeldPromptSearch heldPromptSearch;

    /**
     * Creates a factory.
     *
     * @param loop the event loop that processes all requests
     * @param clock the monotonic clock of all timeouts
     * @param client sends requests to upstreams
     * @param protocol encodes requests to upstreams and decodes their responses
     * @param fleet the current routes and instances
     * @param pool load and health of the instances
     * @param retryAllowance limits the retries that this entry sends
     * @param crashHistory the requests that lost instances
     * @param crashCausingParts the parts of prompts that crash instances
     * @param origins the software versions that began streams
     * @param versionHistory the software versions that each service has had
     * @param originPeers the other entries, which keep and know origins of streams
     * @param heldPrompts the software versions of the instances that hold prompts
     * @param storeConfirmation tells whether what is known of the instances is current
     * @param callerCheck identifies callers
     * @param demandMeter measures the demand for each model service
     * @param allotments limits what the workspaces use
     * @param memoryCompetition the requests that wait for memory
     * @param log the decision log
     * @param metrics the request metrics
     */
    public FrontHandlerFactory(
            EventLoop loop,
            MillisClock clock,
            UpstreamClient client,
            UpstreamProtocol protocol,
            FleetState fleet,
            InstancePool pool,
            RetryAllowance retryAllowance,
            CrashHistory crashHistory,
            CrashCausingParts crashCausingParts,
            StreamOrigins origins,
            VersionHistory versionHistory,
            OriginPeers originPeers,
            HeldPrompts heldPrompts,
            StoreConfirmation storeConfirmation,
            CallerCheck callerCheck,
            DemandMeter demandMeter,
            AllotmentLedger allotments,
            MemoryCompetition memoryCompetition,
            DecisionLog log,
            RequestMetrics metrics) {
        heldPromptSearch = new HeldPromptSearch(client, protocol, fleet, pool.notices(), clock, heldPrompts, log);
        context = new RequestProcessorContext(
                loop,
                clock,
                client,
                protocol,
                fleet,
                pool,
                retryAllowance,
                crashHistory,
                crashCausingParts,
                origins,
                versionHistory,
                originPeers,
                heldPromptSearch,
                storeConfirmation,
                callerCheck,
                demandMeter,
                new MemoryWaitQueues(loop, memoryCompetition),
                allotments,
                log,
                metrics);
    }

    /**
     * Creates the handler.
     *
     * @param protocol decodes requests of callers
     * @param drainPolicy decides whether a draining entry accepts a request
     * @param openRequests counts the requests in progress
     * @param connections the connections of the requests
     * @param limits what callers may make the entry hold
     * @return the handler; it must run on the event loop's thread
     */
    public HttpHandler handler(
            CallerProtocol protocol,
            DrainPolicy drainPolicy,
            OpenRequests openRequests,
            CallerConnections connections,
            ClientLimits limits) {
        ForcedExitGuard forcedExitGuard = new ForcedExitGuard(drainPolicy, context.loop());
        return new FrontHandler(
                new RequestDispatcher(context, drainPolicy, forcedExitGuard),
                protocol,
                context.clock(),
                limits,
                drainPolicy,
                forcedExitGuard,
                openRequests,
                connections,
                context.log());
    }

    /** Asks the instances which prompts they hold. Called on the event loop, once the instances are known. */
    public void readHeldPrompts() {
        heldPromptSearch.readAll();
    }
}
