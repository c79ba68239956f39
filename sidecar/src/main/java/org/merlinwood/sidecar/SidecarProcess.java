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
 * One sidecar: the only way to its upstream, and the one place that decides what may run there.
 *
 * <p>Made, started, drained and closed once. All control state belongs to one thread; event loops and I/O threads carry
 * the traffic.
 */
public final class SidecarProcess implements AutoCloseable {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int UPSTREAM_THREADS = 2;
    private static final long ADVANCE_PERIOD_MILLIS = 20;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long CANCEL_PATIENCE_MILLIS = 1_000;
    private static final long HANDOVER_PATIENCE_MILLIS = 2_500;
    private static final long DEFAULT_DRAIN_MILLIS = 60_000;
    private static final long STATE_PATIENCE_MILLIS = 2_000;

    private final MillisClock clock = SystemMillisClock.shared();
    private final SidecarSettings settings;
    private final PortLock slot;
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
    private volatile boolean leaving;

    // ------------------------------------------------------------------ configuration

    /**
     * Takes the slot beside the upstream and assembles the process; nothing is served before {@link #start()}.
     *
     * @param settings the settings
     * @param onDrainRequested called when an operator asks for a graceful shutdown
     * @throws java.io.UncheckedIOException if another sidecar runs beside the upstream
     */
    public SidecarProcess(SidecarSettings settings, Runnable onDrainRequested) {
        this.settings = settings;
        this.slot = new PortLock(settings.guardPort());
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        this.incarnation = new Incarnation(new SecureRandom().nextLong() | 1);
        this.follower = ConfigurationFollower.builder(settings.process(), client)
                .metrics(metrics)
                .build();
        EngineClient engine = new EngineClient(client, socketAddress(settings.upstreamAddress()));
        this.reaper = new StreamReaper(loop, engine, metrics);
        InstanceName self = settings.process().instance();
        KeyTable table = new KeyTable(clock);
        HomeHistory chain = new HomeHistory(self, clock);
        KeyBarrier barrier =
                new KeyBarrier(self, incarnation, settings.process().keys(), clock, chain);
        this.keys = new KeyStage(table, barrier, chain, metrics);
        this.handover = new HandoverStage(self, incarnation, clock, loop, table, barrier, chain, keys, metrics);
        this.suspicion = new SuspicionStage(self, clock, loop, metrics);
        this.grants = new GrantStage(
                new GrantManager(clock, new RetryDelay(random)),
                new DemandFilter(gate, keys, follower::onPeerRevisions),
                suspicion,
                incarnation,
                metrics,
                this::abandon);
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

    // ------------------------------------------------------------------ life-cycle

    /**
     * Starts to follow the configuration and to listen.
     *
     * @throws RuntimeException if an address can't be bound
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the repetition ends with the loop
    public void start() {
        operator.start();
        endpoint.start();
        follower.addListener(inForce -> loop.execute(() -> configure(inForce)));
        follower.start(endpoint);
        loop.repeat(ADVANCE_PERIOD_MILLIS, this::advance);
        handover.start(endpoint);
        suspicion.start(endpoint);
        logger.atInfo().log(
                "sidecar %s, incarnation %s, beside %s",
                settings.process().instance(), incarnation, settings.upstreamAddress());
    }

    /**
     * Refuses new work and waits until what was granted has ended. What is left after the drain limit of the rules is
     * cancelled, so that the upstream holds nothing for a process that is gone.
     *
     * @return true if nothing had to be cancelled
     */
    public boolean drain() {
        leaving = true;
        loop.execute(grants::startDraining);
        long limitMillis = follower.current()
                .map(inForce -> inForce.rules().limits().drainMillis())
                .orElse(DEFAULT_DRAIN_MILLIS);
        boolean whole = awaitIdle(limitMillis);
        if (!whole) {
            cancelRest(limitMillis);
        }
        handOver();
        return whole;
    }

    @Override
    public void close() {
        loop.close();
        endpoint.close();
        operator.close();
        follower.close();
        client.close();
        slot.close();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Tells whether grants are given.
     *
     * @return true once inventory and rules are in force and the upstream is free of old streams, until draining begins
     */
    public boolean isReady() {
        return serving && !leaving;
    }

    /**
     * Returns where this process listens for its peers.
     *
     * @return the bound address
     */
    public InetSocketAddress peerAddress() {
        return endpoint.boundAddress();
    }

    /**
     * Returns the control state.
     *
     * @return a copy
     */
    public SidecarState state() {
        CompletableFuture<SidecarState> state = loop.call(this::currentState);
        return state.orTimeout(STATE_PATIENCE_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    // ------------------------------------------------------------------ internals: assembly

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

    // ------------------------------------------------------------------ internals: control thread

    private void configure(ActiveConfiguration inForce) {
        ServingConfiguration view =
                ServingConfiguration.of(inForce, settings.process().instance());
        handover.configure(inForce);
        view.row().ifPresent(row -> {
            keys.configure(inForce, row);
            suspicion.configure(inForce, row);
            orders.ifPresent(stage -> stage.configure(inForce.inventory(), row));
        });
        grants.configure(view);
        Optional<InstanceRole> role = view.row().map(row -> row.role());
        if (role.filter(InstanceRole.PLAIN::equals).isPresent()) {
            gate.markCleared();
        } else if (role.isPresent() && !sweeping) {
            sweeping = true;
            sweep.run();
            orders.ifPresent(OrderStage::start);
        }
        logger.atInfo().log("inventory and rules in force: %s", inForce.revisions());
    }

    private void advance() {
        grants.advance();
        serving = grants.configuration().isPresent() && gate.isCleared();
    }

    private void abandon(AttemptIdentity attempt) {
        executions.cancel(attempt);
    }

    private SidecarState currentState() {
        return new SidecarState(
                settings.process().instance().value(),
                incarnation.toString(),
                settings.upstreamAddress().toString(),
                grants.revisions().inventory(),
                grants.revisions().rules(),
                leaving,
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

    // ------------------------------------------------------------------ internals

    private void cancelRest(long limitMillis) {
        logger.atWarning().log("work is left after the drain limit of %d ms and is cancelled", limitMillis);
        loop.execute(grants::cancelEverything);
        awaitIdle(CANCEL_PATIENCE_MILLIS);
    }

    private void handOver() {
        CompletableFuture<Boolean> handedOver = new CompletableFuture<>();
        loop.execute(() -> handover.handOver(() -> handedOver.complete(true)));
        boolean whole = handedOver
                .completeOnTimeout(false, HANDOVER_PATIENCE_MILLIS, TimeUnit.MILLISECONDS)
                .join();
        logger.atInfo().log("the table of keys was handed over: %s", whole);
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
