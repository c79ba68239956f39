package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;

/**
 * The platform's services of a fleet.
 *
 * @param process process of the configuration service
 * @param configurationService where it is read
 * @param administration where it takes commands
 * @param weightStore address of the weight store
 */
public record Platform(
        FleetProcess process,
        InetSocketAddress configurationService,
        InetSocketAddress administration,
        InetSocketAddress weightStore) {}
