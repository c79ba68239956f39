package org.merlinwood.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.CallerRule;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.decision.placement.UpstreamPool;

/** Creates inventories and rules of the planned fleet size or a fraction of it. Stateless and thread-safe. */
final class PlannedFleet {

    static final int INSTANCES = 3_000;
    static final int CALLERS = 6_700;
    static final int MODELS = 7;
    static final ServiceName SERVICE = new ServiceName("generation");
    static final ServiceName PLAIN_SERVICE = new ServiceName("portal");
    static final InstanceName SELF = new InstanceName("entry-001");
    static final FailureDomain OWN_DOMAIN = domain(0);

    private static final int DOMAINS = 21;
    private static final int DOMAINS_PER_REGION = 3;
    private static final int PORT = 7001;
    private static final int PIECES = 64;
    private static final int HOST_NUMBERS = 250;

    private PlannedFleet() {}

    /** Returns an inventory of all roles and models in the planned proportions. */
    static Inventory mixed(int rows) {
        InstanceRole[] roles = {InstanceRole.PREFILL, InstanceRole.DECODE, InstanceRole.DECODE, InstanceRole.PLAIN};
        List<Instance> instances = new ArrayList<>();
        for (int number = 0; number < rows; number++) {
            instances.add(row(number, roles[number % roles.length], model(number)));
        }
        return Inventory.of(1, instances, models());
    }

    /** Returns the next revision of an inventory, in which one row in the middle has changed to draining. */
    static Inventory withOneDraining(Inventory inventory) {
        List<Instance> instances = new ArrayList<>(inventory.instances().values());
        int middle = instances.size() / 2;
        instances.set(middle, draining(instances.get(middle)));
        return Inventory.of(
                inventory.revision() + 1,
                instances,
                List.copyOf(inventory.models().values()));
    }

    private static Instance draining(Instance row) {
        return new Instance(
                row.name(),
                row.address(),
                row.failureDomain(),
                row.region(),
                row.service(),
                row.role(),
                row.models(),
                row.pieces(),
                row.concurrency(),
                row.orderFencing(),
                InstanceState.DRAINING);
    }

    /** Returns an inventory whose rows are all candidates of one pool. */
    static Inventory onePool(int rows, InstanceRole role) {
        List<Instance> instances = new ArrayList<>();
        for (int number = 0; number < rows; number++) {
            instances.add(row(number, role, model(0)));
        }
        return Inventory.of(1, instances, models());
    }

    static UpstreamPool pool(Inventory inventory, InstanceRole role) {
        boolean plain = role == InstanceRole.PLAIN;
        return UpstreamPool.of(
                inventory,
                plain ? PLAIN_SERVICE : SERVICE,
                role,
                plain ? Optional.empty() : Optional.of(model(0)),
                SELF,
                OWN_DOMAIN);
    }

    static Rules rules(int callers) {
        List<CallerRule> rows = new ArrayList<>();
        for (int number = 0; number < callers; number++) {
            String digest = "%064x".formatted(number);
            rows.add(new CallerRule(new CallerName("workspace-%05d".formatted(number)), "standard", digest));
        }
        return new Rules(
                1,
                List.of(
                        new ServiceRule(SERVICE, ServiceKind.MODEL, 1, 1, 30_000),
                        new ServiceRule(PLAIN_SERVICE, ServiceKind.PLAIN, 1, 1, 10_000)),
                List.of(),
                List.of(callerClass()),
                rows,
                new Limits(600_000, 10_000, 32 << 20, 3_000, 60_000, 20, 4 << 20, 60_000, 600_000, 2_000));
    }

    static CallerClass callerClass() {
        return new CallerClass("standard", 1, 1_600, 80, 1, 64);
    }

    static ModelName model(int number) {
        return new ModelName("model-" + number % MODELS);
    }

    private static List<Model> models() {
        List<Model> models = new ArrayList<>();
        for (int number = 0; number < MODELS; number++) {
            models.add(new Model(model(number), "1", "weights-" + number, List.of(), 65_536, 100_000));
        }
        return models;
    }

    private static Instance row(int number, InstanceRole role, ModelName model) {
        boolean plain = role == InstanceRole.PLAIN;
        int domain = number % DOMAINS;
        return new Instance(
                new InstanceName("runner-%05d".formatted(number)),
                new NetworkAddress("10.%d.%d.%d".formatted(domain, number / HOST_NUMBERS, number % HOST_NUMBERS), PORT),
                domain(domain),
                "region-" + domain / DOMAINS_PER_REGION,
                plain ? PLAIN_SERVICE : SERVICE,
                role,
                plain ? List.of() : List.of(model),
                plain ? 0 : PIECES,
                plain ? PIECES : 0,
                OrderFencing.CHECKED,
                InstanceState.ACTIVE);
    }

    private static FailureDomain domain(int number) {
        return new FailureDomain("domain-%02d".formatted(number));
    }
}
