package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;
import org.merlinwood.configuration.inventory.Instance;

/**
 * One entry of a fleet.
 *
 * @param instance its row of the inventory
 * @param process its process
 * @param callerAddress where callers connect
 * @param operatorAddress its operator port
 */
public record Entry(
        Instance instance, FleetProcess process, InetSocketAddress callerAddress, InetSocketAddress operatorAddress) {}
