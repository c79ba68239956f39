package org.merlinwood.proving.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.merlinwood.configuration.document.InventoryWriter;
import org.merlinwood.configuration.document.RulesWriter;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.standin.StandIn;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;
import org.merlinwood.standin.network.FreePorts;

/**
 * Entries, sidecars and stand-ins as processes on the loopback interface. Thread-safe.
 *
 * <p>Runs from {@link #start(FleetPlan)} until {@link #close()}, which ends every process that it started; a shutdown
 * hook does the same where the process that started them ends first.
 */
public final class Fleet implements AutoCloseable {

    private static final long READY_MILLIS = 60_000;
    private static final int MAXIMUM_STARTS = 4;

    private final Path folder;
    private final List<FleetProcess> processes = new ArrayList<>();
    private final List<FleetProcess> passing = new ArrayList<>();
    private final List<StandIn> forwarders = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final FleetProbe probe = new FleetProbe();
    private final Thread shutdownHook = new Thread(this::endAll, "fleet-shutdown");
    private Platform platform;

    // ------------------------------------------------------------------ life-cycle

    private Fleet(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts a fleet and waits until every process is ready.
     *
     * @param plan what it consists of
     * @return the running fleet
     * @throws IllegalStateException if a process doesn't become ready; everything has ended then
     */
    public static Fleet start(FleetPlan plan) {
        Fleet fleet = new Fleet(createFolder());
        Runtime.getRuntime().addShutdownHook(fleet.shutdownHook);
        try {
            new FleetAssembly(fleet, plan).assemble();
            fleet.awaitReady();
            return fleet;
        } catch (RuntimeException exception) {
            fleet.close();
            throw exception;
        }
    }

    @Override
    public void close() {
        endAll();
        probe.close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        deleteFolder();
    }

    // ------------------------------------------------------------------ public API

    /** Returns the entries. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** Returns all sidecars. */
    public List<Sidecar> sidecars() {
        return List.copyOf(sidecars);
    }

    /**
     * Returns the sidecars of one role.
     *
     * @param role the role
     * @return sidecars in the order of the inventory
     */
    public List<Sidecar> sidecars(InstanceRole role) {
        return sidecars.stream()
                .filter(sidecar -> sidecar.instance().role() == role)
                .toList();
    }

    /**
     * Finds a sidecar.
     *
     * @param name name of its instance
     * @return the sidecar
     */
    public Sidecar sidecar(String name) {
        return sidecars.stream()
                .filter(sidecar -> sidecar.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the platform's services. */
    public Platform platform() {
        return platform;
    }

    /** Returns the calls to operator ports and ledgers. */
    public FleetProbe probe() {
        return probe;
    }

    /** Returns the rows of the inventory as they were at the start. */
    public List<Instance> instances() {
        return Stream.concat(
                        entries.stream().map(Entry::instance), sidecars.stream().map(Sidecar::instance))
                .toList();
    }

    /**
     * Publishes an inventory.
     *
     * @param instances its rows
     * @return its revision
     */
    public long publish(List<Instance> instances) {
        Inventory inventory = Inventory.of(Revisions.NONE, instances, FleetDocuments.models());
        return probe.publish(platform.administration(), "inventory", InventoryWriter.write(inventory));
    }

    /**
     * Publishes rules.
     *
     * @param rules the rules
     * @return their revision
     */
    public long publish(Rules rules) {
        return probe.publish(platform.administration(), "rules", RulesWriter.write(rules));
    }

    /**
     * Waits until every process says that it is ready.
     *
     * @throws IllegalStateException if one doesn't in time, with the end of its log
     */
    public void awaitReady() {
        entries.forEach(entry -> awaitReady(entry.process(), entry.operatorAddress()));
        sidecars.forEach(sidecar -> awaitReady(sidecar.process(), sidecar.operatorAddress()));
    }

    /**
     * Waits until one process says that it is ready.
     *
     * @param process the process
     * @param operatorAddress its operator port
     */
    public void awaitReady(FleetProcess process, InetSocketAddress operatorAddress) {
        if (!probe.awaitStatus(operatorAddress, "/ready", process, READY_MILLIS)) {
            throw new IllegalStateException(process.name() + " did not become ready:\n" + process.logTail());
        }
    }

    /**
     * Undoes what a test did: every path forwards, every process runs and is ready, and the platform shows all.
     *
     * @throws IllegalStateException if a process doesn't become ready in time
     */
    public void repair() {
        sidecars.forEach(Fleet::passAll);
        thawAll();
        startAll();
        probe.command(platform.administration(), "/up");
        probe.command(platform.administration(), "/stale/inventory");
        probe.command(platform.administration(), "/stale/rules");
        awaitReady();
    }

    /** Starts what has ended, again if it ends at once, as an engine does that is sent a crashing request once more. */
    private void startAll() {
        for (int start = 1; start < MAXIMUM_STARTS; start++) {
            processes.forEach(FleetProcess::start);
            if (upstreamsListen()) {
                return;
            }
        }
        processes.forEach(FleetProcess::start);
        sidecars.forEach(sidecar ->
                awaitListening(sidecar.upstream().process(), sidecar.upstream().administration()));
    }

    private boolean upstreamsListen() {
        awaitListening(platform.process(), platform.administration());
        return sidecars.stream()
                .map(Sidecar::upstream)
                .allMatch(upstream -> probe.awaitAnswer(upstream.administration(), upstream.process(), READY_MILLIS));
    }

    /**
     * Starts a second sidecar beside the upstream of another, with ports of its own but the same guard port.
     *
     * @param sidecar the first sidecar
     * @return the process, which is not started again by {@link #repair()}
     */
    public FleetProcess startBeside(Sidecar sidecar) {
        FreePorts ports = new FreePorts();
        List<String> arguments = SettingsFile.copyOf(folder, sidecar.instance(), "second")
                .address("peerAddress", ports.next())
                .address("operatorAddress", ports.next())
                .write();
        FleetProcess second = FleetAssembly.sidecarProcess(sidecar.name() + "-second", arguments, folder);
        passing.add(second);
        second.start();
        return second;
    }

    /** Lets every frozen process go on. */
    public void thawAll() {
        processes.stream().filter(FleetProcess::isAlive).forEach(FleetProcess::thaw);
    }

    private static void passAll(Sidecar sidecar) {
        Stream.concat(sidecar.peerForwarder().stream(), sidecar.upstreamForwarder().stream())
                .forEach(forwarder -> forwarder.mode(ForwardingMode.PASS, ForwardingDirection.BOTH, 0));
    }

    // ------------------------------------------------------------------ internals: assembly

    Path folder() {
        return folder;
    }

    void add(FleetProcess process) {
        processes.add(process);
        process.start();
    }

    void add(StandIn forwarder) {
        forwarders.add(forwarder);
    }

    void add(Entry entry) {
        entries.add(entry);
    }

    void add(Sidecar sidecar) {
        sidecars.add(sidecar);
    }

    void platform(Platform started) {
        platform = started;
    }

    void awaitListening(FleetProcess process, InetSocketAddress address) {
        if (!probe.awaitAnswer(address, process, READY_MILLIS)) {
            throw new IllegalStateException(process.name() + " does not listen:\n" + process.logTail());
        }
    }

    // ------------------------------------------------------------------ internals: end

    private void endAll() {
        processes.forEach(FleetProcess::kill);
        passing.forEach(FleetProcess::kill);
        forwarders.forEach(StandIn::close);
    }

    private static Path createFolder() {
        try {
            return Files.createTempDirectory("merlinwood-fleet");
        } catch (IOException exception) {
            throw new UncheckedIOException("no temporary folder", exception);
        }
    }

    private void deleteFolder() {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException("the temporary folder could not be deleted", exception);
        }
    }
}
