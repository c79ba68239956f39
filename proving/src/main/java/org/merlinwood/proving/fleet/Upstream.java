package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;

/**
 * One upstream of a fleet: an engine or a plain service.
 *
 * @param name name of its instance
 * @param process its process
 * @param address where it serves
 * @param administration where it takes commands
 */
public record Upstream(
        String name, FleetProcess process, InetSocketAddress address, InetSocketAddress administration) {}
