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
 * A deployment of entries, sidecars and stand-ins that run as processes on the loopback interface. Thread-safe.
 *
 * <p>It runs from {@link #start(FleetPlan)} until {@link #close()}, which kills every process that it started. A
 * shutdown hook kills them if this process exits before that.
 */
public final class Fleet implements AutoCloseable {

    private static final long READY_TIMEOUT_MILLIS = 60_000;
    private static final int MAXIMUM_START_ATTEMPTS = 4;

    private final Path folder;
    private final List<FleetProcess> processes = new ArrayList<>();
    private final List<FleetProcess> temporaryProcesses = new ArrayList<>();
    private final List<StandIn> forwarders = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final FleetProbe probe = new FleetProbe();
    private final FreePorts ports = new FreePorts();
    private final Thread shutdownHook = new Thread(this::killAll, "fleet-shutdown");
    private Platform platform;

    private Fleet(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts a fleet and waits until every process is ready.
     *
     * @param plan the size and options of the fleet
     * @return the running fleet
     * @throws IllegalStateException if a process does not become ready in time; all processes have been killed then
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
        killAll();
        probe.close();
        ports.close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        deleteFolder();
    }

    /** Returns the entries, in the sequence of the inventory. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** Returns all sidecars, in the sequence of the inventory. */
    public List<Sidecar> sidecars() {
        return List.copyOf(sidecars);
    }

    /**
     * Returns the sidecars of one role.
     *
     * @param role the role
     * @return the sidecars, in the sequence of the inventory
     */
    public List<Sidecar> sidecars(InstanceRole role) {
        return sidecars.stream()
                .filter(sidecar -> sidecar.instance().role() == role)
                .toList();
    }

    /**
     * Returns a sidecar by name.
     *
     * @param name name of its instance
     * @return the sidecar
     * @throws java.util.NoSuchElementException if there is none with this name
     */
    public Sidecar sidecar(String name) {
        return sidecars.stream()
                .filter(sidecar -> sidecar.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the stand-ins of the platform services. */
    public Platform platform() {
        return platform;
    }

    /** Returns the client of the operator ports and of the stand-ins' ledgers. */
    public FleetProbe probe() {
        return probe;
    }

    /** Returns the inventory rows as published at the start of the fleet. */
    public List<Instance> instances() {
        return Stream.concat(
                        entries.stream().map(Entry::instance), sidecars.stream().map(Sidecar::instance))
                .toList();
    }

    /**
     * Publishes an inventory to the configuration service.
     *
     * @param instances the inventory rows
     * @return the revision of the inventory
     */
    public long publish(List<Instance> instances) {
        Inventory inventory = Inventory.of(Revisions.NONE, instances, FleetDocuments.models());
        return probe.publish(platform.administration(), "inventory", InventoryWriter.write(inventory));
    }

    /**
     * Publishes rules to the configuration service.
     *
     * @param rules the rules
     * @return the revision of the rules
     */
    public long publish(Rules rules) {
        return probe.publish(platform.administration(), "rules", RulesWriter.write(rules));
    }

    /**
     * Waits until every entry and sidecar reports that it is ready.
     *
     * @throws IllegalStateException if one does not become ready in time; the message contains the end of its log
     */
    public void awaitReady() {
        entries.forEach(entry -> awaitReady(entry.process(), entry.operatorAddress()));
        sidecars.forEach(sidecar -> awaitReady(sidecar.process(), sidecar.operatorAddress()));
    }

    /**
     * Waits until one process reports that it is ready.
     *
     * @param process the process
     * @param operatorAddress address of its operator port
     * @throws IllegalStateException if it does not become ready in time; the message contains the end of its log
     */
    public void awaitReady(FleetProcess process, InetSocketAddress operatorAddress) {
        if (!probe.awaitStatus(operatorAddress, "/ready", process, READY_TIMEOUT_MILLIS)) {
            throw new IllegalStateException(process.name() + " did not become ready:\n" + process.logTail());
        }
    }

    /**
     * Reverts the failures that a test has injected: forwarders pass all bytes, all processes run and are ready, and
     * the configuration service is reachable and serves the latest documents. Published documents are not reverted.
     *
     * @throws IllegalStateException if a process does not become ready in time
     */
    public void repair() {
        sidecars.forEach(Fleet::resetForwarders);
        thawAll();
        startAll();
        probe.command(platform.administration(), "/up");
        probe.command(platform.administration(), "/stale/inventory");
        probe.command(platform.administration(), "/stale/rules");
        awaitReady();
    }

    /**
     * Starts processes that have exited. Tries several times, because an engine exits again at once if it is sent a
     * crashing request once more.
     */
    private void startAll() {
        for (int start = 1; start < MAXIMUM_START_ATTEMPTS; start++) {
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
                .allMatch(upstream ->
                        probe.awaitResponse(upstream.administration(), upstream.process(), READY_TIMEOUT_MILLIS));
    }

    /**
     * Starts a second sidecar for the upstream of another sidecar, with ports of its own but the same guard port.
     *
     * @param sidecar the first sidecar
     * @return the process of the second sidecar, which {@link #repair()} does not restart
     */
    public FleetProcess startBeside(Sidecar sidecar) {
        List<String> arguments = SettingsFile.copyOf(folder, sidecar.instance(), "second")
                .address("peerAddress", ports.next())
                .address("operatorAddress", ports.next())
                .write();
        FleetProcess second = FleetAssembly.sidecarProcess(sidecar.name() + "-second", arguments, folder);
        temporaryProcesses.add(second);
        second.start();
        return second;
    }

    /** Resumes all frozen processes. */
    public void thawAll() {
        processes.stream().filter(FleetProcess::isAlive).forEach(FleetProcess::thaw);
    }

    private static void resetForwarders(Sidecar sidecar) {
        Stream.concat(sidecar.peerForwarder().stream(), sidecar.upstreamForwarder().stream())
                .forEach(forwarder -> forwarder.mode(ForwardingMode.PASS, ForwardingDirection.BOTH, 0));
    }

    FreePorts ports() {
        return ports;
    }

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
        if (!probe.awaitResponse(address, process, READY_TIMEOUT_MILLIS)) {
            throw new IllegalStateException(process.name() + " does not listen:\n" + process.logTail());
        }
    }

    private void killAll() {
        processes.forEach(FleetProcess::close);
        temporaryProcesses.forEach(FleetProcess::close);
        forwarders.forEach(StandIn::close);
    }

    private static Path createFolder() {
        try {
            return Files.createTempDirectory("merlinwood-fleet");
        } catch (IOException exception) {
            throw new UncheckedIOException("could not create a temporary folder", exception);
        }
    }

    private void deleteFolder() {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException("could not delete the temporary folder", exception);
        }
    }
}
