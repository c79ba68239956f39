package org.merlinwood.configuration.settings;

import java.util.List;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;

/**
 * Settings that every process of the system has. Immutable.
 *
 * @param instance the name of the instance, as in the inventory
 * @param failureDomain the failure domain
 * @param peerAddress where this process listens for its peers
 * @param operatorAddress where it serves metrics and dumps
 * @param configurationService addresses of the platform's configuration service, tried in turn
 * @param seedPeers peers to ask for inventory and rules before one is known, may be empty
 * @param keys one or two valid keys, the first of which is used for new proofs
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
