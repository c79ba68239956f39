package org.merlinwood.replay.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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
import org.merlinwood.replay.fake.CacheListener;
import org.merlinwood.replay.fake.FakeDecode;
import org.merlinwood.replay.fake.FakePlain;
import org.merlinwood.replay.fake.FakePrefill;
import org.merlinwood.replay.fake.SidecarBehaviour;
import org.merlinwood.replay.fake.VirtualTime;
import org.merlinwood.replay.trace.Fleet;

/** The inventory of a fleet, with a fake for each instance. Not thread-safe. */
public final class FleetFakes {

    /** Name of the model service in every trace. */
    public static final ServiceName MODEL_SERVICE = new ServiceName("model");

    /** Name of the plain service in every trace. */
    public static final ServiceName PLAIN_SERVICE = new ServiceName("plain");

    /** Name of the model in every trace. */
    public static final ModelName MODEL = new ModelName("model");

    private static final String REGION = "region";
    private static final int PORT = 7001;

    private final Inventory inventory;
    private final Map<InstanceName, FakePrefill> prefills = new LinkedHashMap<>();
    private final Map<InstanceName, FakeDecode> decodes = new LinkedHashMap<>();
    private final Map<InstanceName, FakePlain> plains = new LinkedHashMap<>();

    /**
     * Creates a fleet of idle instances.
     *
     * @param time virtual time
     * @param fleet numbers of instances, rates and sizes
     * @param behaviour how the sidecars treat grant requests
     * @param cacheListener receives cache events
     */
    public FleetFakes(VirtualTime time, Fleet fleet, SidecarBehaviour behaviour, CacheListener cacheListener) {
        List<Instance> rows = new ArrayList<>();
        for (Instance row : rows(fleet, InstanceRole.PREFILL, fleet.prefill().instances())) {
            rows.add(row);
            prefills.put(row.name(), new FakePrefill(time, row, fleet, behaviour, cacheListener));
        }
        for (Instance row : rows(fleet, InstanceRole.DECODE, fleet.decode().instances())) {
            rows.add(row);
            decodes.put(row.name(), new FakeDecode(time, row, fleet, behaviour));
        }
        for (Instance row : rows(fleet, InstanceRole.PLAIN, fleet.plain().instances())) {
            rows.add(row);
            plains.put(row.name(), new FakePlain(time, row, fleet));
        }
        this.inventory = Inventory.of(1, rows, List.of());
    }

    /**
     * Fails all instances of a failure domain.
     *
     * @param failureDomain name of the failure domain
     */
    public void failDomain(String failureDomain) {
        FailureDomain lost = new FailureDomain(failureDomain);
        prefills.values().stream().filter(fake -> isIn(fake.instance(), lost)).forEach(FakePrefill::fail);
        decodes.values().stream().filter(fake -> isIn(fake.instance(), lost)).forEach(FakeDecode::fail);
        plains.values().stream().filter(fake -> isIn(fake.instance(), lost)).forEach(FakePlain::fail);
    }

    /**
     * Returns the inventory.
     *
     * @return the inventory of all instances
     */
    public Inventory inventory() {
        return inventory;
    }

    FakePrefill prefill(InstanceName name) {
        return prefills.get(name);
    }

    FakeDecode decode(InstanceName name) {
        return decodes.get(name);
    }

    FakePlain plain(InstanceName name) {
        return plains.get(name);
    }

    List<FakePrefill> prefills() {
        return List.copyOf(prefills.values());
    }

    List<FakeDecode> decodes() {
        return List.copyOf(decodes.values());
    }

    List<FakePlain> plains() {
        return List.copyOf(plains.values());
    }

    private static boolean isIn(Instance instance, FailureDomain domain) {
        return instance.failureDomain().equals(domain);
    }

    private static List<Instance> rows(Fleet fleet, InstanceRole role, int count) {
        List<Instance> rows = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            rows.add(row(fleet, role, number));
        }
        return rows;
    }

    private static Instance row(Fleet fleet, InstanceRole role, int number) {
        boolean plain = role == InstanceRole.PLAIN;
        String domain =
                fleet.failureDomains().get(number % fleet.failureDomains().size());
        return new Instance(
                new InstanceName(role.name().toLowerCase(Locale.ROOT) + "-" + number),
                new NetworkAddress("127.0.0.1", PORT),
                new FailureDomain(domain),
                REGION,
                plain ? PLAIN_SERVICE : MODEL_SERVICE,
                role,
                plain ? List.of() : List.of(MODEL),
                plain ? 0 : fleet.decode().pieces(),
                plain ? fleet.plain().concurrency() : 0,
                OrderFencing.CHECKED,
                InstanceState.ACTIVE);
    }
}
