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

/** Starts the processes of one plan in their order. Used by one thread, once. */
final class FleetAssembly {

    private static final String STAND_INS = "org.merlinwood.standin.StandInsCommand";
    private static final String ENTRY = "org.merlinwood.entry.EntryMain";
    private static final String SIDECAR = "org.merlinwood.sidecar.SidecarMain";
    private static final List<String> FAILURE_DOMAINS = List.of("lalitpur", "bhaktapur", "kirtipur");
    private static final String REGION = "kathmandu-valley";
    private static final int PLAIN_CONCURRENCY = 32;
    private static final JavaCommand SMALL = new JavaCommand("64m");
    private static final JavaCommand SERVING = new JavaCommand("128m");

    private final FreePorts ports = new FreePorts();
    private final Fleet fleet;
    private final FleetPlan plan;
    private final List<Planned> planned = new ArrayList<>();

    FleetAssembly(Fleet fleet, FleetPlan plan) {
        this.fleet = fleet;
        this.plan = plan;
    }

    void assemble() {
        planInstances();
        startPlatform();
        List<Upstream> upstreams = planned.stream()
                .filter(each -> each.role != InstanceRole.ENTRY)
                .map(this::startUpstream)
                .toList();
        awaitListening(upstreams);
        List<Instance> rows = planned.stream().map(Planned::row).toList();
        fleet.publish(rows);
        fleet.publish(FleetDocuments.rules(plan));
        fleet.probe().list(fleet.platform().administration(), liveList(rows));
        planned.stream().filter(each -> each.role == InstanceRole.ENTRY).forEach(this::startEntry);
        upstreams.forEach(this::startSidecar);
    }

    // ------------------------------------------------------------------ internals: plan

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
            planned.add(plan(prefix + "-" + number, role, service, number));
        }
    }

    private Planned plan(String name, InstanceRole role, String service, int number) {
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
        return new Planned(role, row, peerAddress, forwarder);
    }

    private static List<ModelName> modelNames() {
        return FleetDocuments.models().stream().map(model -> model.name()).toList();
    }

    private static String liveList(List<Instance> rows) {
        StringBuilder list = new StringBuilder("{\"instances\":[");
        for (Instance row : rows) {
            list.append(list.charAt(list.length() - 1) == '[' ? "" : ",")
                    .append("{\"name\":\"")
                    .append(row.name())
                    .append("\",\"state\":\"LIVE\"}");
        }
        return list.append("]}").toString();
    }

    // ------------------------------------------------------------------ internals: stand-ins

    private void startPlatform() {
        InetSocketAddress listen = ports.next();
        InetSocketAddress administration = ports.next();
        FleetProcess configuration =
                startStandIn("configuration-service", "configuration-service", listen, administration, List.of());
        InetSocketAddress weights = ports.next();
        startStandIn("weight-store", "weight-store", weights, ports.next(), List.of());
        fleet.platform(new Platform(configuration, listen, administration, weights));
    }

    private Upstream startUpstream(Planned each) {
        InetSocketAddress listen = ports.next();
        InetSocketAddress administration = ports.next();
        String name = each.row.name().value();
        String kind = each.role == InstanceRole.PLAIN ? "plain" : "engine";
        FleetProcess process = startStandIn(name + "-upstream", kind, listen, administration, upstreamOptions(each));
        return new Upstream(name, process, listen, administration);
    }

    private List<String> upstreamOptions(Planned each) {
        String name = each.row.name().value();
        List<String> options = new ArrayList<>(List.of(
                "--ledger-file", fleet.folder().resolve(name + ".ledger").toString()));
        if (each.role == InstanceRole.PLAIN) {
            options.addAll(List.of("--name", name, "--concurrency", String.valueOf(PLAIN_CONCURRENCY)));
        } else {
            options.addAll(List.of("--role", each.role.name(), "--pieces", String.valueOf(plan.pieces())));
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
        FleetProcess process = new FleetProcess(name, SMALL, STAND_INS, arguments, fleet.folder());
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

    // ------------------------------------------------------------------ internals: serving processes

    private void startEntry(Planned each) {
        InetSocketAddress caller = ports.next();
        InetSocketAddress operator = ports.next();
        List<String> arguments =
                settings(each, operator).address("callerAddress", caller).write();
        FleetProcess process = startServing(each, ENTRY, arguments);
        fleet.add(new Entry(each.row, process, caller, operator));
    }

    private void startSidecar(Upstream upstream) {
        Planned each = planned.stream()
                .filter(candidate -> candidate.row.name().value().equals(upstream.name()))
                .findFirst()
                .orElseThrow();
        Optional<Forwarder> forwarder = plan.upstreamForwarding() == Forwarding.ON
                ? Optional.of(forwarder(upstream.address()))
                : Optional.empty();
        InetSocketAddress operator = ports.next();
        SettingsFile settings = settings(each, operator)
                .address("upstreamAddress", forwarder.map(Forwarder::address).orElse(upstream.address()))
                .port("guardPort", ports.next().getPort());
        if (each.role != InstanceRole.PLAIN) {
            settings.address("weightStore", fleet.platform().weightStore());
        }
        FleetProcess process = startServing(each, SIDECAR, settings.write());
        fleet.add(new Sidecar(each.row, process, operator, upstream, each.forwarder, forwarder));
    }

    private SettingsFile settings(Planned each, InetSocketAddress operator) {
        return new SettingsFile(fleet.folder(), each.row)
                .address("peerAddress", each.peerAddress)
                .address("operatorAddress", operator)
                .addresses("configurationService", List.of(fleet.platform().configurationService()))
                .addresses("seedPeers", seedPeers(each));
    }

    private List<InetSocketAddress> seedPeers(Planned self) {
        return planned.stream()
                .filter(each -> each.role == InstanceRole.ENTRY && !each.equals(self))
                .map(Planned::peerAddress)
                .toList();
    }

    private FleetProcess startServing(Planned each, String mainClass, List<String> arguments) {
        FleetProcess process = new FleetProcess(each.row.name().value(), SERVING, mainClass, arguments, fleet.folder());
        fleet.add(process);
        return process;
    }

    /** Creates a further sidecar process, not started. */
    static FleetProcess sidecarProcess(String name, List<String> arguments, Path folder) {
        return new FleetProcess(name, SERVING, SIDECAR, arguments, folder);
    }

    private record Planned(
            InstanceRole role, Instance row, InetSocketAddress peerAddress, Optional<Forwarder> forwarder) {}
}
