package org.merlinwood.sidecar;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.merlinwood.configuration.document.InventoryWriter;
import org.merlinwood.configuration.document.RulesWriter;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.configuration.rules.CallerRule;
import org.merlinwood.configuration.rules.KeyDemand;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.configuration.rules.RouteRule;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.configuration.rules.ServiceKind;
import org.merlinwood.configuration.rules.ServiceRule;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.configuration.settings.SidecarSettings;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.PeerRole;
import org.merlinwood.standin.network.FreePorts;
import org.merlinwood.standin.platform.ConfigurationService;

/** A configuration service, a sidecar with its inventory entry, and entry connections. Closed by the test. */
final class SidecarFixture implements AutoCloseable {

    private static final FreePorts FREE_PORTS = new FreePorts();

    static final String MODEL = "summary";
    static final int UNITS = 4;
    static final long GRANT_MILLIS = 3_000;
    static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    static final CallerName CALLER = new CallerName("station-7");

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final NetworkAddress OTHER_ADDRESS = new NetworkAddress("127.0.0.1", 1);
    private static final String SECRET = "11".repeat(32);

    final ConfigurationService configuration = new ConfigurationService(ANY_PORT, ANY_PORT, 2_000, 10_000);
    final SidecarSettings settings;
    private final InstanceRole role;
    private final PeerEndpoint entry;
    private SidecarProcess process;

    SidecarFixture(InstanceRole role, InetSocketAddress upstream) {
        this(role, upstream, Optional.empty());
    }

    SidecarFixture(InstanceRole role, InetSocketAddress upstream, Optional<InetSocketAddress> weightStore) {
        this.role = role;
        SidecarSettings common = settings("upstream-1", upstream, configuration);
        this.settings = new SidecarSettings(
                common.process(),
                common.upstreamAddress(),
                common.guardPort(),
                weightStore.map(SidecarFixture::address));
        publishInventory(InstanceState.ACTIVE);
        configuration.publish("rules", RulesWriter.write(rules(role)));
        this.entry = entry();
        this.process = startProcess();
    }

    SidecarProcess process() {
        return process;
    }

    /** Closes the sidecar without a drain and starts another one for the same upstream. */
    void restart() {
        process.close();
        process = startProcess();
    }

    PeerConnection connect() throws Exception {
        return entry.connect(process.peerAddress())
                .toCompletableFuture()
                .get(ProbeExchange.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .get();
    }

    void publishInventory(InstanceState state) {
        ProcessSettings own = settings.process();
        List<Instance> rows = new ArrayList<>(List.of(row(own.instance(), own.peerAddress(), role, state)));
        if (role != InstanceRole.PLAIN) {
            InstanceRole other = role == InstanceRole.DECODE ? InstanceRole.PREFILL : InstanceRole.DECODE;
            rows.add(row(new InstanceName("other-1"), OTHER_ADDRESS, other, InstanceState.ACTIVE));
        }
        Model model = new Model(new ModelName(MODEL), "1", "summary-weights", List.of(), 8_000, 256);
        List<Model> models = role == InstanceRole.PLAIN ? List.of() : List.of(model);
        configuration.publish("inventory", InventoryWriter.write(Inventory.of(1, rows, models)));
    }

    /** Returns the text of an inventory that contains only these plain instances. */
    static String inventoryOf(List<SidecarSettings> listed, InstanceState state) {
        List<Instance> rows = listed.stream()
                .map(settings ->
                        row(settings.process().instance(), settings.process().peerAddress(), InstanceRole.PLAIN, state))
                .toList();
        return InventoryWriter.write(Inventory.of(1, rows, List.of()));
    }

    static String plainRules() {
        return RulesWriter.write(rules(InstanceRole.PLAIN));
    }

    static SidecarSettings settings(String name, InetSocketAddress upstream, ConfigurationService configuration) {
        ProcessSettings common = new ProcessSettings(
                new InstanceName(name),
                new FailureDomain("lalitpur"),
                freeAddress(),
                freeAddress(),
                List.of(address(configuration.address())),
                List.of(),
                List.of(new SharedKey(1, SECRET)));
        return new SidecarSettings(common, address(upstream), freeAddress().port(), Optional.empty());
    }

    static PeerEndpoint entry() {
        PeerEndpoint started = PeerEndpoint.builder()
                .identity(new PeerIdentity(new InstanceName("entry-1"), new Incarnation(7), PeerRole.ENTRY))
                .keys(List.of(new AuthenticationKey(1, SECRET)))
                .build();
        started.start();
        return started;
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(ProbeExchange.TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("the condition was not met within " + ProbeExchange.TIMEOUT_SECONDS + " s");
            }
            Thread.sleep(10);
        }
    }

    @Override
    public void close() {
        entry.close();
        process.close();
        configuration.close();
    }

    private SidecarProcess startProcess() {
        SidecarProcess started = new SidecarProcess(settings, () -> {});
        started.start();
        return started;
    }

    private static Instance row(InstanceName name, NetworkAddress address, InstanceRole role, InstanceState state) {
        boolean plain = role == InstanceRole.PLAIN;
        return new Instance(
                name,
                address,
                new FailureDomain("lalitpur"),
                "kathmandu",
                SERVICE,
                role,
                plain ? List.of() : List.of(new ModelName(MODEL)),
                plain ? 0 : UNITS,
                plain ? UNITS : 0,
                OrderFencing.CHECKED,
                state);
    }

    private static Rules rules(InstanceRole role) {
        boolean plain = role == InstanceRole.PLAIN;
        ServiceRule service = plain
                ? new ServiceRule(SERVICE, ServiceKind.PLAIN, 1, 0, 5_000)
                : new ServiceRule(SERVICE, ServiceKind.MODEL, 1, 1, 5_000);
        return new Rules(
                1,
                List.of(service),
                plain ? routes() : List.of(),
                List.of(new CallerClass("standard", 5, 2_000, 200, 1, 100)),
                List.of(new CallerRule(CALLER, "standard", "ab".repeat(32))),
                new Limits(60_000, 100, 1 << 20, GRANT_MILLIS, 10_000, 10, 1 << 20, 30_000, 60_000, 1_000));
    }

    private static List<RouteRule> routes() {
        return List.of(
                new RouteRule("GET", "/hydrants/*", SERVICE, Repeatability.IDEMPOTENT, KeyDemand.OPTIONAL),
                new RouteRule("POST", "/bookings", SERVICE, Repeatability.NON_IDEMPOTENT, KeyDemand.OPTIONAL));
    }

    private static NetworkAddress address(InetSocketAddress address) {
        return new NetworkAddress(address.getAddress().getHostAddress(), address.getPort());
    }

    private static NetworkAddress freeAddress() {
        return address(FREE_PORTS.next());
    }
}
