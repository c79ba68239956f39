package org.merlinwood.configuration.settings;

import java.util.Optional;
import org.merlinwood.configuration.inventory.NetworkAddress;

/**
 * Settings of a sidecar. Immutable.
 *
 * @param process what every process has
 * @param upstreamAddress where the upstream beside this process listens
 * @param guardPort local port bound for the life of the process, so that no second sidecar runs beside the upstream
 * @param weightStore address of the platform's weight store; empty for plain services
 */
public record SidecarSettings(
        ProcessSettings process, NetworkAddress upstreamAddress, int guardPort, Optional<NetworkAddress> weightStore) {}
