package org.merlinwood.configuration.settings;

import java.util.List;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;

/**
 * Settings common to entries and sidecars. Immutable.
 *
 * @param instance name of the instance, as in the inventory
 * @param failureDomain failure domain of the instance
 * @param peerAddress address on which the process accepts peer connections
 * @param operatorAddress address of the operator port, which serves metrics and state dumps
 * @param configurationService addresses of the platform's configuration service, tried in sequence
 * @param seedPeers peers from which inventory and rules are requested while the process has none; may be empty
 * @param keys one or two valid keys; the first one is used to create proofs
 */
public record ProcessSettings(
        InstanceName instance,
        FailureDomain failureDomain,
        NetworkAddress peerAddress,
        NetworkAddress operatorAddress,
        List<NetworkAddress> configurationService,
        List<NetworkAddress> seedPeers,
        List<SharedKey> keys) {

    /** Copies the lists. */
    public ProcessSettings {
        configurationService = List.copyOf(configurationService);
        seedPeers = List.copyOf(seedPeers);
        keys = List.copyOf(keys);
    }
}
