package org.merlinwood.gateway.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;
import org.merlinwood.gateway.allotment.AllotmentLimits;
import org.merlinwood.gateway.workspace.RevocationLimit;
import org.merlinwood.protocol.AuthenticationKey;

/**
 * Settings of an entry process. Immutable.
 *
 * @param instance name of this entry
 * @param failureDomain failure domain of this entry
 * @param callerAddress address that accepts callers
 * @param readyAddress address that serves the readiness check of the platform and the metrics
 * @param peerAddress address that accepts sessions of other entries
 * @param peerKey authentication key of the sessions between entries
 * @param seeds peer addresses of some entries, possibly stale
 * @param addressParser parses IP:PORT as sent by other entries
 * @param storeAddress address of the configuration store
 * @param terminationGraceMillis time from the termination signal until the process is killed, in milliseconds
 * @param retryRatio retries that all entries together may send per request to a service
 * @param fixedRetriesPerWindow additional retries that all entries together may send to a service per window
 * @param retryWindowMillis length of the sliding window for retries, in milliseconds
 * @param fencedOrders whether instances reject orders with an outdated fencing token; if false, no orders are issued
 * @param allotmentLimits how far all entries together may exceed the allotments of workspaces
 * @param revocationLimit for how long a revoked key may still be accepted
 * @param rankWaitingRequests whether requests that wait for memory are ranked over all entries
 */
public record GatewaySettings(
        String instance,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress peerAddress,
        AuthenticationKey peerKey,
        List<InetSocketAddress> seeds,
        Function<String, InetSocketAddress> addressParser,
        InetSocketAddress storeAddress,
        long terminationGraceMillis,
        double retryRatio,
        double fixedRetriesPerWindow,
        long retryWindowMillis,
        boolean fencedOrders,
        AllotmentLimits allotmentLimits,
        RevocationLimit revocationLimit,
        boolean rankWaitingRequests) {

    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Creates settings with the usual limits of allotments, which don't limit for how long a revoked key is accepted.
     */
    public GatewaySettings(
            String instance,
            String failureDomain,
            InetSocketAddress callerAddress,
            InetSocketAddress readyAddress,
            InetSocketAddress peerAddress,
            AuthenticationKey peerKey,
            List<InetSocketAddress> seeds,
            Function<String, InetSocketAddress> addressParser,
            InetSocketAddress storeAddress,
            long terminationGraceMillis,
            double retryRatio,
            double fixedRetriesPerWindow,
            long retryWindowMillis,
            boolean fencedOrders) {
        this(
                instance,
                failureDomain,
                callerAddress,
                readyAddress,
                peerAddress,
                peerKey,
                seeds,
                addressParser,
                storeAddress,
                terminationGraceMillis,
                retryRatio,
                fixedRetriesPerWindow,
                retryWindowMillis,
                fencedOrders,
                AllotmentLimits.DEFAULT,
                RevocationLimit.NONE,
                false);
    }
}
