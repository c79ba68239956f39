package org.merlinwood.gateway.front;

import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.crash.CrashCausingParts;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.RetryAllowance;
import org.merlinwood.gateway.decision.StreamOrigins;
import org.merlinwood.gateway.decision.VersionHistory;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.follow.StoreConfirmation;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.gateway.upstream.UpstreamClient;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.operation.log.DecisionLog;

/**
 * The components that all request processors of a process share.
 *
 * @param loop the event loop that owns all of them
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
 * @param heldPromptSearch asks the instances which prompts they hold
 * @param storeConfirmation tells whether what is known of the instances is current
 * @param callerCheck identifies callers
 * @param demandMeter measures the demand for each model service
 * @param memoryWaitQueues the queues of requests that wait for memory
 * @param allotments limits what the workspaces use
 * @param log the decision log
 * @param metrics the request metrics
 */
record RequestProcessorContext(
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
        HeldPromptSearch heldPromptSearch,
        StoreConfirmation storeConfirmation,
        CallerCheck callerCheck,
        DemandMeter demandMeter,
        MemoryWaitQueues memoryWaitQueues,
        AllotmentLedger allotments,
        DecisionLog log,
        RequestMetrics metrics) {}
