package org.merlinwood.proving.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.inventory.OrderFencing;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.proving.fleet.FleetPlan.Forwarding;
import org.merlinwood.proving.fleet.FleetPlan.PlainPool;
import org.merlinwood.standin.network.Addresses;
import org.merlinwood.standin.network.Forwarder;
import org.merlinwood.standin.network.FreePorts;

/**
 * Starts the processes of a fleet: first the platform and the upstreams, then the entries and the sidecars, which read
 * the published configuration. Used once, by one thread.
 */
final class FleetAssembly {

    private static final String STAND_INS = "org.merlinwood.standin.StandInsCommand";
    private static final String ENTRY = "org.merlinwood.entry.EntryMain";
    private static final String SIDECAR = "org.merlinwood.sidecar.SidecarMain";
    private static final List<String> FAILURE_DOMAINS = List.of("lalitpur", "bhaktapur", "kirtipur");
    private static final String REGION = "kathmandu-valley";
    private static final int PLAIN_CONCURRENCY = 32;
    private static final JavaCommand STAND_IN_JAVA = new JavaCommand("64m");
    private static final JavaCommand SERVING_JAVA = new JavaCommand("128m");

    private final FreePorts ports;
    private final Fleet fleet;
    private final FleetPlan plan;
    private final List<PlannedInstance> plannedInstances = new ArrayList<>();

    FleetAssembly(Fleet fleet, FleetPlan plan) {
        this.fleet = fleet;
        this.ports = fleet.ports();
        this.plan = plan;
    }

    void assemble() {
        planInstances();
        startPlatform();
        List<Upstream> upstreams = plannedInstances.stream()
                .filter(instance -> instance.role != InstanceRole.ENTRY)
                .map(this::startUpstream)
                .toList();
        awaitListening(upstreams);
        List<Instance> rows =
                plannedInstances.stream().map(PlannedInstance::row).toList();
        fleet.publish(rows);
        fleet.publish(FleetDocuments.rules(plan));
        fleet.probe().list(fleet.platform().administration(), instanceList(rows));
        plannedInstances.stream()
                .filter(instance -> instance.role == InstanceRole.ENTRY)
                .forEach(this::startEntry);
        upstreams.forEach(this::startSidecar);
    }

    private void planInstances() {
        addAll("entry", InstanceRole.ENTRY, "entry", plan.entries());
        addAll("prefill", InstanceRole.PREFILL, FleetDocuments.GENERATION, plan.prefills());
        addAll("decode", InstanceRole.DECODE, FleetDocuments.GENERATION, plan.decodes());
        for (PlainPool pool : plan.plainServices()) {
            addAll(pool.service(), InstanceRole.PLAIN, pool.service(), pool.instances());
        }
    }

    private void addAll(String prefix, InstanceRole role, String service, int count) {
        for (int number = 1; number <= count; number++) {
            plannedInstances.add(plan(prefix + "-" + number, role, service, number));
        }
    }

    private PlannedInstance plan(String name, InstanceRole role, String service, int number) {
        InetSocketAddress peerAddress = ports.next();
        boolean forwarded = role != InstanceRole.ENTRY && plan.peerForwarding() == Forwarding.ON;
        Optional<Forwarder> forwarder = forwarded ? Optional.of(forwarder(peerAddress)) : Optional.empty();
        InetSocketAddress advertised = forwarder.map(Forwarder::address).orElse(peerAddress);
        boolean engine = role == InstanceRole.PREFILL || role == InstanceRole.DECODE;
        Instance row = new Instance(
                new InstanceName(name),
                NetworkAddress.parse(Addresses.text(advertised)),
                new FailureDomain(FAILURE_DOMAINS.get((number - 1) % FAILURE_DOMAINS.size())),
                REGION,
                new ServiceName(service),
                role,
                engine ? modelNames() : List.of(),
                engine ? plan.pieces() : 0,
                role == InstanceRole.PLAIN ? PLAIN_CONCURRENCY : 0,
                OrderFencing.CHECKED,
                InstanceState.ACTIVE);
        return new PlannedInstance(role, row, peerAddress, forwarder);
    }

    private static List<ModelName> modelNames() {
        return FleetDocuments.models().stream().map(model -> model.name()).toList();
    }

    private static String instanceList(List<Instance> rows) {
        StringBuilder list = new StringBuilder("{\"instances\":[");
        for (Instance row : rows) {
            list.append(list.charAt(list.length() - 1) == '[' ? "" : ",")
                    .append("{\"name\":\"")
                    .append(row.name())
                    .append("\",\"state\":\"LIVE\"}");
        }
        return list.append("]}").toString();
    }

    private void startPlatform() {
        InetSocketAddress listen = ports.next();
        InetSocketAddress administration = ports.next();
        FleetProcess configuration =
                startStandIn("configuration-service", "configuration-service", listen, administration, List.of());
        InetSocketAddress weights = ports.next();
        startStandIn("weight-store", "weight-store", weights, ports.next(), List.of());
        fleet.platform(new Platform(configuration, listen, administration, weights));
    }

    private Upstream startUpstream(PlannedInstance instance) {
        InetSocketAddress listen = ports.next();
        InetSocketAddress administration = ports.next();
        String name = instance.row.name().value();
        String kind = instance.role == InstanceRole.PLAIN ? "plain" : "engine";
        FleetProcess process =
                startStandIn(name + "-upstream", kind, listen, administration, upstreamOptions(instance));
        return new Upstream(name, process, listen, administration);
    }

    private List<String> upstreamOptions(PlannedInstance instance) {
        String name = instance.row.name().value();
        List<String> options = new ArrayList<>(List.of(
                "--ledger-file", fleet.folder().resolve(name + ".ledger").toString()));
        if (instance.role == InstanceRole.PLAIN) {
            options.addAll(List.of("--name", name, "--concurrency", String.valueOf(PLAIN_CONCURRENCY)));
        } else {
            options.addAll(List.of("--role", instance.role.name(), "--pieces", String.valueOf(plan.pieces())));
            options.addAll(List.of("--models", FleetDocuments.SUMMARY_MODEL + "," + FleetDocuments.REPLY_MODEL));
            options.addAll(plan.engineOptions());
        }
        return options;
    }

    private FleetProcess startStandIn(
            String name,
            String subcommand,
            InetSocketAddress listen,
            InetSocketAddress administration,
            List<String> options) {
        List<String> arguments = new ArrayList<>(
                List.of(subcommand, "--listen", Addresses.text(listen), "--admin", Addresses.text(administration)));
        arguments.addAll(options);
        FleetProcess process = new FleetProcess(name, STAND_IN_JAVA, STAND_INS, arguments, fleet.folder());
        fleet.add(process);
        return process;
    }

    private void awaitListening(List<Upstream> upstreams) {
        fleet.awaitListening(fleet.platform().process(), fleet.platform().administration());
        upstreams.forEach(upstream -> fleet.awaitListening(upstream.process(), upstream.administration()));
    }

    private Forwarder forwarder(InetSocketAddress target) {
        Forwarder forwarder = new Forwarder(Addresses.anyLoopback(), Addresses.anyLoopback(), target);
        fleet.add(forwarder);
        return forwarder;
    }

    private void startEntry(PlannedInstance instance) {
        InetSocketAddress caller = ports.next();
        InetSocketAddress operator = ports.next();
        List<String> arguments =
                settings(instance, operator).address("callerAddress", caller).write();
        FleetProcess process = startServing(instance, ENTRY, arguments);
        fleet.add(new Entry(instance.row, process, caller, operator));
    }

    private void startSidecar(Upstream upstream) {
        PlannedInstance instance = plannedInstances.stream()
                .filter(candidate -> candidate.row.name().value().equals(upstream.name()))
                .findFirst()
                .orElseThrow();
        Optional<Forwarder> forwarder = plan.upstreamForwarding() == Forwarding.ON
                ? Optional.of(forwarder(upstream.address()))
                : Optional.empty();
        InetSocketAddress operator = ports.next();
        SettingsFile settings = settings(instance, operator)
                .address("upstreamAddress", forwarder.map(Forwarder::address).orElse(upstream.address()))
                .port("guardPort", ports.next().getPort());
        if (instance.role != InstanceRole.PLAIN) {
            settings.address("weightStore", fleet.platform().weightStore());
        }
        FleetProcess process = startServing(instance, SIDECAR, settings.write());
        fleet.add(new Sidecar(instance.row, process, operator, upstream, instance.forwarder, forwarder));
    }

    private SettingsFile settings(PlannedInstance instance, InetSocketAddress operator) {
        return new SettingsFile(fleet.folder(), instance.row)
                .address("peerAddress", instance.peerAddress)
                .address("operatorAddress", operator)
                .addresses("configurationService", List.of(fleet.platform().configurationService()))
                .addresses("seedPeers", seedPeers(instance));
    }

    private List<InetSocketAddress> seedPeers(PlannedInstance self) {
        return plannedInstances.stream()
                .filter(instance -> instance.role == InstanceRole.ENTRY && !instance.equals(self))
                .map(PlannedInstance::peerAddress)
                .toList();
    }

    private FleetProcess startServing(PlannedInstance instance, String mainClass, List<String> arguments) {
        FleetProcess process =
                new FleetProcess(instance.row.name().value(), SERVING_JAVA, mainClass, arguments, fleet.folder());
        fleet.add(process);
        return process;
    }

    /** Creates the process of a further sidecar without starting it. */
    static FleetProcess sidecarProcess(String name, List<String> arguments, Path folder) {
        return new FleetProcess(name, SERVING_JAVA, SIDECAR, arguments, folder);
    }

    private record PlannedInstance(
            InstanceRole role, Instance row, InetSocketAddress peerAddress, Optional<Forwarder> forwarder) {}
}
