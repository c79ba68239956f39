package org.merlinwood.configuration.settings;

import java.util.Optional;
import org.merlinwood.configuration.inventory.NetworkAddress;

/**
 * Settings of a sidecar process. Immutable.
 *
 * @param process settings common to all processes
 * @param upstreamAddress address of the upstream that this sidecar serves
 * @param guardPort local port that the process keeps bound while it runs, so that no second sidecar can run for the
 *     same upstream
 * @param weightStore address of the platform's weight store; empty for plain services
 */
public record SidecarSettings(
        ProcessSettings process, NetworkAddress upstreamAddress, int guardPort, Optional<NetworkAddress> weightStore) {}
