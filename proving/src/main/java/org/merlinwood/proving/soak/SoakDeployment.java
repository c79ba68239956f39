package org.merlinwood.proving.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.platform.GatewayMain;
import org.merlinwood.platform.standin.CrashingPart;
import org.merlinwood.platform.standin.InstanceDocuments;
import org.merlinwood.platform.standin.RunLedger;
import org.merlinwood.platform.standin.StandInInstance;
import org.merlinwood.platform.standin.StandInStore;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.JavaCommand;
import org.merlinwood.standin.network.Forwarder;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;
import org.merlinwood.standin.network.FreePorts;

/**
 * A deployment under test: entries run as processes of their own, the store and the instances run in this process, each
 * behind a forwarder that can disturb its connections. The constructor starts it and {@link #close()} stops it. Each
 * fault is started and ended by a thread of its own.
 */
final class SoakDeployment implements AutoCloseable {

    /** Number of entries. */
    static final int ENTRIES = 3;

    /** Number of software versions among the instances. */
    private static final int VERSIONS = 2;

    private static final List<StandInInstance.Stage> STAGES = List.of(
            StandInInstance.Stage.PREFILL,
            StandInInstance.Stage.PREFILL,
            StandInInstance.Stage.DECODE,
            StandInInstance.Stage.DECODE,
            StandInInstance.Stage.DECODE,
            StandInInstance.Stage.PLAIN,
            StandInInstance.Stage.PLAIN,
            StandInInstance.Stage.PLAIN);

    /** Drain time granted to entries, in seconds. */
    private static final int GRACE_SECONDS = 5;

    /**
     * Delay added by a forwarder in each direction, in milliseconds; no more than the highest latency within a region.
     */
    private static final long DELAY_MILLIS = 60;

    /** Age of the backup from which the store is restored, in milliseconds. */
    private static final long BACKUP_AGE_MILLIS = 3_000;

    /** Time until an instance that a part of a prompt has crashed serves again, in milliseconds. */
    private static final long DOWN_MILLIS = 1_500;

    private static final String REQUESTS_TO_DECLINING = "merlinwood_requests_to_declining_instances ";
    private static final String NO_REQUESTS_TO_DECLINING = REQUESTS_TO_DECLINING + "0.0";
    private static final long READY_POLL_MILLIS = 50;
    private static final int READY_POLLS = 400;
    private static final String NAME_PREFIX = "instance-";
    private static final String HEAP = "96m";

    private final FreePorts ports = new FreePorts();
    private final RunLedger ledger = new RunLedger();
    private final List<StandInInstance> instances = new ArrayList<>();
    private final List<Forwarder> paths = new ArrayList<>();
    private final List<FleetProcess> entries = new ArrayList<>();
    private final List<InetSocketAddress> callerAddresses = new ArrayList<>();
    private final List<InetSocketAddress> readyAddresses = new ArrayList<>();
    /** Identifier of the last process that was asked to drain, by index of the entry. */
    private final Map<Integer, Long> leaving = new ConcurrentHashMap<>();

    /** Number of starts of an instance, by its index; stands for the time of its start. */
    private final Map<Integer, Long> starts = new ConcurrentHashMap<>();

    private final Set<Integer> leavingInstances = ConcurrentHashMap.newKeySet();
    private final EntryReloads reloads = new EntryReloads();
    private final StandInStore store;
    private final Forwarder storePath;
    private long version = 1;

    SoakDeployment(Path folder) {
        InetSocketAddress storeAddress = ports.next();
        store = new StandInStore(storeAddress);
        storePath = new Forwarder(ports.next(), ports.next(), storeAddress);
        store.configure(InstanceDocuments.configuration(version));
        STAGES.forEach(this::addInstance);
        addEntries(folder);
        for (int index = 0; index < ENTRIES; index++) {
            start(index);
        }
    }

    /** Returns the number of instances. */
    static int instances() {
        return STAGES.size();
    }

    /** Waits until every entry reports that it is ready. */
    void awaitReady() throws InterruptedException {
        try (HttpClient client = HttpClient.create("ready", 1)) {
            for (InetSocketAddress address : readyAddresses) {
                awaitReady(client, address);
            }
        }
    }

    @Override
    public void close() {
        entries.forEach(FleetProcess::thaw);
        entries.forEach(FleetProcess::kill);
        reloads.close();
        paths.forEach(Forwarder::close);
        instances.forEach(StandInInstance::close);
        storePath.close();
        store.close();
        ports.close();
    }

    List<InetSocketAddress> callerAddresses() {
        return callerAddresses;
    }

    RunLedger ledger() {
        return ledger;
    }

    /** Returns the number of runs, reservations and prompts that instances still hold. */
    int heldCount() {
        return instances.stream().mapToInt(StandInInstance::heldCount).sum();
    }

    /** Returns the process of an entry. */
    FleetProcess entry(int index) {
        return entries.get(index);
    }

    /** Returns the address of the readiness check of an entry. */
    InetSocketAddress readyAddress(int index) {
        return readyAddresses.get(index);
    }

    /** Returns the end of the log of an entry. */
    String log(int entry) {
        return entries.get(entry).logTail();
    }

    /** Describes entries whose processes have ended and were not restarted. */
    List<String> endedUnexpectedly() {
        return entries.stream()
                .filter(entry -> !entry.isAlive())
                .map(entry -> entry.name() + " ended with status " + entry.exitStatus() + "\n" + entry.logTail())
                .toList();
    }

    /** Returns the counters of requests to declining instances that aren't 0, of the entries that run. */
    List<String> requestsToDeclining() {
        try (HttpClient client = HttpClient.create("metrics", 1)) {
            return readyAddresses.stream()
                    .map(address -> HttpRequest.of("GET", address, "/metrics", new byte[0]))
                    .map(request ->
                            client.execute(request).toCompletableFuture().join())
                    .map(result -> result.fold(Failure::detail, HttpResponse::text))
                    .flatMap(String::lines)
                    .filter(line -> line.startsWith(REQUESTS_TO_DECLINING) && !line.equals(NO_REQUESTS_TO_DECLINING))
                    .toList();
        }
    }

    void begin(ScheduledFault fault) throws InterruptedException {
        int target = fault.target();
        switch (fault.kind()) {
            case ENTRY_KILLED -> entries.get(target).kill();
            case ENTRY_PAUSED -> entries.get(target).freeze();
            case ENTRY_LEAVES -> {
                leaving.put(target, entries.get(target).processIdentifier());
                entries.get(target).terminate();
            }
            case ENTRY_RELOADS -> reloads.reload(entries.get(target));
            case INSTANCE_CRASHES -> {
                setPathMode(target, ForwardingMode.DROP, ForwardingDirection.BOTH);
                instances.get(target).crash();
            }
            case INSTANCE_SILENT -> setPathMode(target, ForwardingMode.SILENT, ForwardingDirection.BOTH);
            case INSTANCE_DEAF -> setPathMode(target, ForwardingMode.SILENT, ForwardingDirection.TO_TARGET);
            case INSTANCE_MUTE -> setPathMode(target, ForwardingMode.SILENT, ForwardingDirection.FROM_TARGET);
            case INSTANCE_RESET -> setPathMode(target, ForwardingMode.DROP, ForwardingDirection.BOTH);
            case INSTANCE_DELAYED -> setPathMode(target, ForwardingMode.DELAY, ForwardingDirection.BOTH);
            case INSTANCE_LEAVES -> {
                instances.get(target).leaving(true);
                register(target, true);
            }
            case INSTANCE_DECLINES -> instances.get(target).decline(fault.forMillis());
            case INSTANCE_ENDLESS -> instances.get(target).endless(true);
            case CRASHING_PART -> armCrashingPart();
            case STORE_RESTORED -> store.restore(BACKUP_AGE_MILLIS);
            case STORE_SILENT -> storePath.mode(ForwardingMode.SILENT, ForwardingDirection.BOTH, 0);
            case STORE_RESET -> storePath.mode(ForwardingMode.DROP, ForwardingDirection.BOTH, 0);
            case CONFIGURATION_CHANGES -> {
                version++;
                store.configure(InstanceDocuments.configuration(version));
            }
        }
    }

    void end(ScheduledFault fault) {
        int target = fault.target();
        switch (fault.kind()) {
            case ENTRY_KILLED -> start(target);
            case ENTRY_PAUSED -> entries.get(target).thaw();
            case ENTRY_LEAVES -> restart(target);
            case INSTANCE_CRASHES, INSTANCE_SILENT, INSTANCE_DEAF, INSTANCE_MUTE, INSTANCE_RESET, INSTANCE_DELAYED ->
                setPathMode(target, ForwardingMode.PASS, ForwardingDirection.BOTH);
            case INSTANCE_LEAVES -> {
                instances.get(target).leaving(false);
                starts.merge(target, 1L, Long::sum);
                register(target, false);
            }
            case INSTANCE_DECLINES -> instances.get(target).decline(0);
            case INSTANCE_ENDLESS -> instances.get(target).endless(false);
            case STORE_RESTORED -> writeAgain();
            case STORE_SILENT, STORE_RESET -> storePath.mode(ForwardingMode.PASS, ForwardingDirection.BOTH, 0);
            case CRASHING_PART -> instances.forEach(instance -> instance.crashingPart(Optional.empty()));
            case ENTRY_RELOADS, CONFIGURATION_CHANGES -> {}
        }
    }

    /**
     * Waits for a draining entry to exit, kills it if it exceeds its drain time, and starts it again. Does nothing if
     * the entry was restarted in the meantime, which happens if it was asked to drain twice.
     */
    private void restart(int target) {
        FleetProcess entry = entries.get(target);
        if (entry.processIdentifier() != leaving.get(target)) {
            return;
        }
        if (!entry.awaitEnd(TimeUnit.SECONDS.toMillis(GRACE_SECONDS))) {
            entry.kill();
        }
        start(target);
    }

    private void start(int target) {
        FleetProcess entry = entries.get(target);
        entry.start();
        reloads.onStarted(entry, readyAddresses.get(target));
    }

    private void armCrashingPart() {
        for (int index = 0; index < instances.size(); index++) {
            int armed = index;
            CrashingPart part = new CrashingPart(SoakLoad.CRASHING_PART, DOWN_MILLIS, () -> registerNewStart(armed));
            instances.get(index).crashingPart(Optional.of(part));
        }
    }

    private void registerNewStart(int index) {
        starts.merge(index, 1L, Long::sum);
        register(index, leavingInstances.contains(index));
    }

    private void setPathMode(int target, ForwardingMode mode, ForwardingDirection direction) {
        paths.get(target).mode(mode, direction, DELAY_MILLIS);
    }

    private void addInstance(StandInInstance.Stage stage) {
        int index = instances.size();
        InetSocketAddress address = ports.next();
        instances.add(new StandInInstance(name(index), stage, address, ledger, version(index)));
        paths.add(new Forwarder(ports.next(), ports.next(), address));
        register(index, false);
    }

    /** Writes again what the store may have lost in a restore. */
    private void writeAgain() {
        for (int index = 0; index < instances.size(); index++) {
            register(index, leavingInstances.contains(index));
        }
        store.configure(InstanceDocuments.configuration(version));
    }

    private void register(int index, boolean leaving) {
        if (leaving) {
            leavingInstances.add(index);
        } else {
            leavingInstances.remove(index);
        }
        store.register(
                name(index),
                InstanceDocuments.registration(
                        STAGES.get(index),
                        paths.get(index).address(),
                        leaving,
                        starts.getOrDefault(index, 1L),
                        version(index)));
    }

    /** Returns the software version of an instance: two versions serve side by side. */
    private static String version(int index) {
        return "v" + index % VERSIONS;
    }

    /** Returns the kind of work of an instance. */
    static StandInInstance.Stage stage(String instance) {
        return STAGES.get(Integer.parseInt(instance.substring(NAME_PREFIX.length())));
    }

    /** Returns the identifier of an instance. */
    static String name(int index) {
        return NAME_PREFIX + index;
    }

    private void addEntries(Path folder) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (int index = 0; index < ENTRIES; index++) {
            callerAddresses.add(ports.next());
            readyAddresses.add(ports.next());
            peers.add(ports.next());
        }
        for (int index = 0; index < ENTRIES; index++) {
            String name = "entry-" + index;
            Path settings = folder.resolve(name + ".json");
            write(settings, settings(name, index, peers));
            entries.add(new FleetProcess(
                    name, new JavaCommand(HEAP), GatewayMain.class.getName(), List.of(settings.toString()), folder));
        }
    }

    private String settings(String name, int index, List<InetSocketAddress> peers) {
        List<String> seeds = peers.stream()
                .map(peer -> "\"127.0.0.1:" + peer.getPort() + "\"")
                .toList();
        return """
                {"instance": "%s", "failureDomain": "z", "callerAddress": "127.0.0.1:%d",
                 "readyAddress": "127.0.0.1:%d", "peerAddress": "127.0.0.1:%d",
                 "peerSecret": "00112233445566778899aabbccddeeff", "seeds": %s, "storeAddress": "127.0.0.1:%d",
                 "graceSeconds": %d, "repeatRatio": 0.2, "repeatFixed": 50, "repeatWindowSeconds": 10}
                """.formatted(
                        name,
                        callerAddresses.get(index).getPort(),
                        readyAddresses.get(index).getPort(),
                        peers.get(index).getPort(),
                        seeds,
                        storePath.address().getPort(),
                        GRACE_SECONDS);
    }

    private static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException exception) {
            throw new UncheckedIOException("could not write the settings of an entry", exception);
        }
    }

    private static void awaitReady(HttpClient client, InetSocketAddress address) throws InterruptedException {
        HttpRequest request = HttpRequest.of("GET", address, "/v1/ready", new byte[0]);
        for (int poll = 0; poll < READY_POLLS; poll++) {
            int status = client.execute(request)
                    .toCompletableFuture()
                    .join()
                    .fold(failure -> 0, response -> response.status());
            if (status == 200) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
        throw new IllegalStateException("an entry did not get ready at " + address);
    }
}
