package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.standin.network.Forwarder;

/**
 * A sidecar of a fleet with its upstream. Immutable.
 *
 * @param instance inventory row of the sidecar
 * @param process process of the sidecar
 * @param operatorAddress address of the operator port
 * @param upstream the upstream of the sidecar
 * @param peerForwarder forwarder in front of the peer port; empty if the plan has none
 * @param upstreamForwarder forwarder between the sidecar and its upstream; empty if the plan has none
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
