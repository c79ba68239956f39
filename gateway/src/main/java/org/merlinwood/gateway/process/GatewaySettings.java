package org.merlinwood.gateway.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;
import org.merlinwood.protocol.AuthenticationKey;

/**
 * Settings of one entry. Immutable.
 *
 * @param instance name of the instance
 * @param domain its failure domain
 * @param callerAddress where callers connect
 * @param readyAddress where the platform asks whether the entry takes callers, and operators read metrics
 * @param peerAddress where other entries connect
 * @param peerKey secret of the sessions between entries
 * @param seeds peer addresses of some entries, possibly stale
 * @param addressParser reads IP:PORT as other entries send it
 * @param storeAddress address of the configuration store
 * @param graceMillis time from the termination signal to the forced end, in milliseconds
 * @param repeatRatio repeats that all entries may send for each request of a service
 * @param repeatFixed repeats that all entries may send to a service besides, in one window
 * @param repeatWindowMillis length of that sliding window, in milliseconds
 * @param fencedOrders whether instances refuse orders with an old fencing token; without that, none are given
 */
public record GatewaySettings(
        String instance,
        String domain,
        InetSocketAddress callerAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress peerAddress,
        AuthenticationKey peerKey,
        List<InetSocketAddress> seeds,
        Function<String, InetSocketAddress> addressParser,
        InetSocketAddress storeAddress,
        long graceMillis,
        double repeatRatio,
        double repeatFixed,
        long repeatWindowMillis,
        boolean fencedOrders) {

    /** Copies the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }
}
