package org.merlinwood.sidecar.suspicion;

import java.util.List;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.decision.idempotency.RendezvousOrder;

/** The sidecars of a service that record suspicions, by rendezvous hashing. Used by the control thread only. */
final class SuspicionHomes {

    private static final int HOME_COUNT = 2;

    private List<Instance> serviceInstances = List.of();

    void configure(Inventory inventory, ServiceName service) {
        serviceInstances = inventory.instances().values().stream()
                .filter(instance -> instance.service().equals(service))
                .filter(instance -> instance.state() != InstanceState.RETIRED)
                .toList();
    }

    /** Returns the homes of a digest; none if the service has no instance. */
    List<Instance> of(byte[] digest) {
        return RendezvousOrder.order(digest, serviceInstances.stream()).stream()
                .limit(HOME_COUNT)
                .toList();
    }
}
