package org.merlinwood.decision.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;

/** Inventories for the placement tests. */
final class PoolInventories {

    static final ServiceName SERVICE = new ServiceName("reports");
    static final ModelName MODEL = new ModelName("summary");
    static final InstanceName SELF = new InstanceName("entry-1");
    static final FailureDomain OWN_DOMAIN = new FailureDomain("domain-0");
    static final int PIECES = 20;
    private static final int DOMAINS_PER_REGION = 3;
    private static final int PORT = 7001;

    private PoolInventories() {}

    static Inventory of(InstanceRole role, int instances, int domains) {
        List<Instance> rows = new ArrayList<>();
        for (int number = 0; number < instances; number++) {
            rows.add(row(role, number, number % domains, InstanceState.ACTIVE));
        }
        return Inventory.of(1, rows, List.of());
    }

    static Inventory without(Inventory inventory, InstanceName name) {
        List<Instance> rows = inventory.instances().values().stream()
                .filter(row -> !row.name().equals(name))
                .toList();
        return Inventory.of(inventory.revision() + 1, rows, List.of());
    }

    static Instance row(InstanceRole role, int number, int domain, InstanceState state) {
        boolean plain = role == InstanceRole.PLAIN;
        return new Instance(
                new InstanceName("instance-" + number),
                new NetworkAddress("127.0.0.1", PORT),
                new FailureDomain("domain-" + domain),
                "region-" + domain / DOMAINS_PER_REGION,
                SERVICE,
                role,
                plain ? List.of() : List.of(MODEL),
                plain ? 0 : PIECES,
                plain ? PIECES : 0,
                OrderFencing.CHECKED,
                state);
    }

    static UpstreamPool pool(Inventory inventory, InstanceRole role) {
        return pool(inventory, role, SELF);
    }

    static UpstreamPool pool(Inventory inventory, InstanceRole role, InstanceName self) {
        Optional<ModelName> model = role == InstanceRole.PLAIN ? Optional.empty() : Optional.of(MODEL);
        return UpstreamPool.of(inventory, SERVICE, role, model, self, OWN_DOMAIN);
    }
}
