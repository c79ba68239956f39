package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.standin.network.Forwarder;

/**
 * One sidecar of a fleet with its upstream.
 *
 * @param instance its row of the inventory
 * @param process its process
 * @param operatorAddress its operator port
 * @param upstream what it stands beside
 * @param peerForwarder stands before it, where the plan says so
 * @param upstreamForwarder stands between it and its upstream, where the plan says so
 */
public record Sidecar(
        Instance instance,
        FleetProcess process,
        InetSocketAddress operatorAddress,
        Upstream upstream,
        Optional<Forwarder> peerForwarder,
        Optional<Forwarder> upstreamForwarder) {

    /**
     * Returns the name of the instance.
     *
     * @return the name
     */
    public String name() {
        return instance.name().value();
    }
}
