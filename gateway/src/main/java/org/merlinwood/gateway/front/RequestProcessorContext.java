package org.merlinwood.gateway.front;

import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.decision.CrashHistory;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.RetryAllowance;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.HttpClient;
import org.merlinwood.operation.log.DecisionLog;

/**
 * What every request of this process uses.
 *
 * @param loop the thread that all of it belongs to
 * @param clock the time
 * @param client sends calls to upstreams
 * @param protocol writes them
 * @param fleet routes and instances
 * @param pool load and health of instances
 * @param allowance repeats that this entry may still send
 * @param crashes requests that crashed instances
 * @param meter what callers ask of each model service
 * @param waiting requests that wait for memory
 * @param log a line for each decision
 * @param metrics counters and times
 */
record RequestProcessorContext(
        EventLoop loop,
        MillisClock clock,
        HttpClient client,
        UpstreamProtocol protocol,
        FleetState fleet,
        InstancePool pool,
        RetryAllowance allowance,
        CrashHistory crashes,
        DemandMeter meter,
        MemoryWaitQueues waiting,
        DecisionLog log,
        RequestMetrics metrics) {}
