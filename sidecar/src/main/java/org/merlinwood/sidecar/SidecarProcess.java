package org.merlinwood.sidecar;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.configuration.settings.SidecarSettings;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.decision.grant.AttemptIdentity;
import org.merlinwood.decision.grant.GrantManager;
import org.merlinwood.decision.idempotency.HomeHistory;
import org.merlinwood.decision.idempotency.KeyBarrier;
import org.merlinwood.decision.idempotency.KeyTable;
import org.merlinwood.decision.retry.RetryDelay;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.following.ConfigurationFollower;
import org.merlinwood.http.HttpClient;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.operation.port.OperatorServer;
import org.merlinwood.operation.port.StateSection;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.PeerRole;
import org.merlinwood.protocol.ProtocolLimits;
import org.merlinwood.sidecar.admission.DemandFilter;
import org.merlinwood.sidecar.admission.ExecutionFactory;
import org.merlinwood.sidecar.admission.ExecutionStage;
import org.merlinwood.sidecar.admission.GrantStage;
import org.merlinwood.sidecar.admission.OrphanSweep;
import org.merlinwood.sidecar.admission.ServingConfiguration;
import org.merlinwood.sidecar.admission.UpstreamGate;
import org.merlinwood.sidecar.key.HandoverStage;
import org.merlinwood.sidecar.key.KeyStage;
import org.merlinwood.sidecar.order.OrderStage;
import org.merlinwood.sidecar.suspicion.SuspicionStage;
import org.merlinwood.sidecar.upstream.EngineClient;
import org.merlinwood.sidecar.upstream.StreamReaper;

/**
 * A sidecar process: the only access to its upstream, which decides which requests run there.
 *
 * <p>Life cycle: construct, {@link #start()}, {@link #drain()}, {@link #close()}, each once. All control state belongs
 * to the control thread; event loops and I/O threads carry the traffic.
 */
public final class SidecarProcess implements AutoCloseable {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int UPSTREAM_THREADS = 2;
    private static final long ADVANCE_PERIOD_MILLIS = 20;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long CANCEL_TIMEOUT_MILLIS = 1_000;
    private static final long HANDOVER_TIMEOUT_MILLIS = 2_500;
    private static final long DEFAULT_DRAIN_MILLIS = 60_000;
    private static final long STATE_TIMEOUT_MILLIS = 2_000;

    private final MillisClock clock = SystemMillisClock.shared();
    private final SidecarSettings settings;
    private final PortLock portLock;
    private final Incarnation incarnation;
    private final MetricRegistry metrics = new MetricRegistry();
    private final ControlLoop loop = new ControlLoop("sidecar-control");
    private final HttpClient client = HttpClient.create("sidecar-upstream", UPSTREAM_THREADS);
    private final ConfigurationFollower follower;
    private final UpstreamGate gate = new UpstreamGate(clock, false);
    private final StreamReaper reaper;
    private final KeyStage keys;
    private final HandoverStage handover;
    private final SuspicionStage suspicion;
    private final GrantStage grants;
    private final ExecutionStage executions;
    private final OrphanSweep sweep;
    private final Optional<OrderStage> orders;
    private final PeerEndpoint endpoint;
    private final OperatorServer operator;
    private boolean sweeping;
    private volatile boolean serving;
    private volatile boolean draining;

    /**
     * Acquires the port lock and assembles the process. Nothing is served before {@link #start()}.
     *
     * @param settings the settings
     * @param onDrainRequested called when an operator requests a graceful shutdown
     * @throws java.io.UncheckedIOException if another sidecar runs beside the upstream
     */
    public SidecarProcess(SidecarSettings settings, Runnable onDrainRequested) {
        this.settings = settings;
        this.portLock = new PortLock(settings.guardPort());
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        this.incarnation = new Incarnation(new SecureRandom().nextLong() | 1);
        this.follower = ConfigurationFollower.builder(settings.process(), client)
                .metrics(metrics)
                .build();
        EngineClient engine = new EngineClient(client, socketAddress(settings.upstreamAddress()));
        this.reaper = new StreamReaper(loop, engine, metrics);
        InstanceName self = settings.process().instance();
        KeyTable table = new KeyTable(clock);
        HomeHistory homeHistory = new HomeHistory(self, clock);
        KeyBarrier barrier =
                new KeyBarrier(self, incarnation, settings.process().keys(), clock, homeHistory);
        this.keys = new KeyStage(table, barrier, homeHistory, metrics);
        this.handover = new HandoverStage(self, incarnation, clock, loop, table, barrier, homeHistory, keys, metrics);
        this.suspicion = new SuspicionStage(self, clock, loop, metrics);
        this.grants = new GrantStage(
                new GrantManager(clock, new RetryDelay(random)),
                new DemandFilter(gate, keys, follower::onPeerRevisions),
                suspicion,
                incarnation,
                metrics,
                this::cancelExecution);
        ExecutionFactory factory = new ExecutionFactory(client, engine, settings.upstreamAddress(), loop);
        this.executions =
                new ExecutionStage(grants, keys, factory, engine, reaper, suspicion, gate, loop, clock, metrics);
        this.sweep = new OrphanSweep(loop, clock, engine, reaper, executions, gate, metrics);
        this.orders = settings.weightStore()
                .map(store -> new OrderStage(loop, clock, engine, store, executions::modelsInUse, random, metrics));
        this.endpoint = endpoint();
        this.operator = operatorServer(onDrainRequested);
        registerGauges();
    }

    /**
     * Starts following the configuration and listening.
     *
     * @throws RuntimeException if an address can't be bound
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the repetition ends with the loop
    public void start() {
        operator.start();
        endpoint.start();
        follower.addListener(active -> loop.execute(() -> configure(active)));
        follower.start(endpoint);
        loop.repeat(ADVANCE_PERIOD_MILLIS, this::advance);
        handover.start(endpoint);
        suspicion.start(endpoint);
        logger.atInfo().log(
                "sidecar %s started with incarnation %s for upstream %s",
                settings.process().instance(), incarnation, settings.upstreamAddress());
    }

    /**
     * Refuses new work, waits until all granted attempts have ended, and hands the key table over. Attempts that still
     * run after the drain limit of the rules are cancelled, so that the upstream holds no memory for a process that has
     * ended.
     *
     * @return true if nothing had to be cancelled
     */
    public boolean drain() {
        draining = true;
        loop.execute(grants::startDraining);
        long limitMillis = follower.current()
                .map(active -> active.rules().limits().drainMillis())
                .orElse(DEFAULT_DRAIN_MILLIS);
        boolean completed = awaitIdle(limitMillis);
        if (!completed) {
            cancelRemaining(limitMillis);
        }
        handOver();
        return completed;
    }

    @Override
    public void close() {
        loop.close();
        endpoint.close();
        operator.close();
        follower.close();
        client.close();
        portLock.close();
    }

    /**
     * Tells whether the sidecar issues grants. Thread-safe.
     *
     * @return true from the time when inventory and rules are active and the upstream is free of old streams until the
     *     drain starts
     */
    public boolean isReady() {
        return serving && !draining;
    }

    /**
     * Returns the address on which this process accepts peer connections.
     *
     * @return the bound address
     */
    public InetSocketAddress peerAddress() {
        return endpoint.boundAddress();
    }

    /**
     * Returns the control state. Blocks until the control thread has provided it.
     *
     * @return a snapshot
     */
    public SidecarState state() {
        CompletableFuture<SidecarState> state = loop.call(this::currentState);
        return state.orTimeout(STATE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    private PeerEndpoint endpoint() {
        ProcessSettings process = settings.process();
        SidecarExchanges exchanges =
                new SidecarExchanges(loop, grants, executions, handover, suspicion, follower::onPeerRevisions);
        PeerEndpoint.Builder builder = PeerEndpoint.builder()
                .identity(new PeerIdentity(process.instance(), incarnation, PeerRole.SIDECAR))
                .keys(process.keys().stream()
                        .map(key -> new AuthenticationKey(key.identifier(), key.secretHexadecimal()))
                        .toList())
                .listenAddress(socketAddress(process.peerAddress()))
                .limits(ProtocolLimits.defaults())
                .observer(exchanges);
        exchanges.install(builder);
        return follower.serve(builder).build();
    }

    private OperatorServer operatorServer(Runnable onDrainRequested) {
        return OperatorServer.builder(socketAddress(settings.process().operatorAddress()), metrics)
                .ready(this::isReady)
                .drain(onDrainRequested)
                .section(section())
                .section(follower)
                .build();
    }

    private StateSection section() {
        return new StateSection() {
            @Override
            public String name() {
                return "sidecar";
            }

            @Override
            public SidecarState state() {
                return SidecarProcess.this.state();
            }
        };
    }

    private void registerGauges() {
        metrics.registerAll(() -> Map.of(
                "load.free_units", gauge(() -> grants.load().getFreePieces()),
                "load.running", gauge(() -> grants.load().getRunning()),
                "load.queued", gauge(() -> grants.load().getQueued()),
                "connections.open", gauge(endpoint::openConnections)));
    }

    private static Gauge<Integer> gauge(Gauge<Integer> value) {
        return value;
    }

    private void configure(ActiveConfiguration active) {
        ServingConfiguration configuration =
                ServingConfiguration.of(active, settings.process().instance());
        handover.configure(active);
        configuration.row().ifPresent(row -> {
            keys.configure(active, row);
            suspicion.configure(active, row);
            orders.ifPresent(stage -> stage.configure(active.inventory(), row));
        });
        grants.configure(configuration);
        Optional<InstanceRole> role = configuration.row().map(row -> row.role());
        if (role.filter(InstanceRole.PLAIN::equals).isPresent()) {
            gate.markCleared();
        } else if (role.isPresent() && !sweeping) {
            sweeping = true;
            sweep.run();
            orders.ifPresent(OrderStage::start);
        }
        logger.atInfo().log("applied inventory and rules: %s", active.revisions());
    }

    private void advance() {
        grants.advance();
        serving = grants.configuration().isPresent() && gate.isCleared();
    }

    private void cancelExecution(AttemptIdentity attempt) {
        executions.cancel(attempt);
    }

    private SidecarState currentState() {
        return new SidecarState(
                settings.process().instance().value(),
                incarnation.toString(),
                settings.upstreamAddress().toString(),
                grants.revisions().inventory(),
                grants.revisions().rules(),
                draining,
                gate.isCleared(),
                grants.state(),
                keys.state(),
                handover.storedTableCount(),
                suspicion.state(),
                executions.running(),
                reaper.pending(),
                endpoint.openConnections());
    }

    private boolean isIdle() {
        return loop.call(() -> grants.isIdle() && reaper.pending().isEmpty()).join();
    }

    private void cancelRemaining(long limitMillis) {
        logger.atWarning().log("drain limit of %d ms exceeded; cancelling the remaining work", limitMillis);
        loop.execute(grants::cancelEverything);
        awaitIdle(CANCEL_TIMEOUT_MILLIS);
    }

    private void handOver() {
        CompletableFuture<Boolean> handedOver = new CompletableFuture<>();
        loop.execute(() -> handover.handOver(() -> handedOver.complete(true)));
        boolean completed = handedOver
                .completeOnTimeout(false, HANDOVER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
        logger.atInfo().log("key table handover completed: %s", completed);
    }

    private boolean awaitIdle(long limitMillis) {
        long deadlineMillis = clock.monotonicMillis() + limitMillis;
        while (!isIdle()) {
            if (clock.monotonicMillis() >= deadlineMillis) {
                return false;
            }
            pause();
        }
        return true;
    }

    private static void pause() {
        try {
            Thread.sleep(DRAIN_POLL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static InetSocketAddress socketAddress(NetworkAddress address) {
        return new InetSocketAddress(address.host(), address.port());
    }
}
