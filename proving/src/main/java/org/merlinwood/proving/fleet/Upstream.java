package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;

/**
 * An upstream of a fleet: an engine or a plain service. Immutable.
 *
 * @param name name of the instance
 * @param process process of the upstream
 * @param address address at which it serves requests
 * @param administration administration address, for ledgers and commands
 */
public record Upstream(
        String name, FleetProcess process, InetSocketAddress address, InetSocketAddress administration) {}
