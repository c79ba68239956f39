package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;

/**
 * The stand-ins of the platform services of a fleet. Immutable.
 *
 * @param process process of the configuration service
 * @param configurationService address at which the configuration service serves documents
 * @param administration administration address of the configuration service
 * @param weightStore address of the weight store
 */
public record Platform(
        FleetProcess process,
        InetSocketAddress configurationService,
        InetSocketAddress administration,
        InetSocketAddress weightStore) {}
