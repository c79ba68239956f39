package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;
import org.merlinwood.configuration.inventory.Instance;

/**
 * An entry of a fleet. Immutable.
 *
 * @param instance inventory row of the entry
 * @param process process of the entry
 * @param callerAddress address that callers connect to
 * @param operatorAddress address of the operator port
 */
public record Entry(
        Instance instance, FleetProcess process, InetSocketAddress callerAddress, InetSocketAddress operatorAddress) {}
