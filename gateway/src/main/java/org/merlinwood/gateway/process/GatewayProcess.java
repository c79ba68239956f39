package org.merlinwood.gateway.process;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.gateway.decision.CrashHistory;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.decision.EntryCountBound;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.OrderLeadership;
import org.merlinwood.gateway.decision.RetryAllowance;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StoreFollower;
import org.merlinwood.gateway.follow.StoreListener;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.follow.StoreProtocol;
import org.merlinwood.gateway.front.FrontHandlerFactory;
import org.merlinwood.gateway.front.OpenRequests;
import org.merlinwood.gateway.front.RequestMetrics;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.gateway.loop.IoThreadLoop;
import org.merlinwood.gateway.order.StageOrders;
import org.merlinwood.gateway.peer.PeerListener;
import org.merlinwood.gateway.peer.PeerSessions;
import org.merlinwood.gateway.request.CallerProtocol;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.upstream.UpstreamClient;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.HttpClient;
import org.merlinwood.operation.log.DecisionLog;
import org.merlinwood.operation.metric.MetricsText;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * An entry: composes the components of the gateway, serves callers and drains on termination.
 *
 * <p>Started once and drained once. All work except the network I/O of the sessions with peers runs on one I/O thread.
 */
public final class GatewayProcess implements AutoCloseable {

    /** Interval between two checks for the end of the drain, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 20;

    /** Time between the last response and exit, in milliseconds. Requests that arrive in this time are refused. */
    private static final long EXIT_DELAY_MILLIS = 100;

    /** Time for the last log lines to be written before exit, in milliseconds. */
    private static final long LOG_FLUSH_MILLIS = 5;

    /** Idle timeout of caller connections, in milliseconds. Longer than any timeout that operators configure. */
    private static final int IDLE_TIMEOUT_MILLIS = 120_000;

    private final GatewaySettings settings;
    private final MillisClock clock = SystemMillisClock.shared();
    private final DecisionLog log;
    private final MetricRegistry metrics = new MetricRegistry();
    private final FleetState fleet = new FleetState();
    private final OpenRequests openRequests = new OpenRequests();
    private final StoreProtocol storeProtocol;
    private final XnioWorker worker;
    private final EventLoop loop;
    private final InstancePool pool;
    private final InstanceNoticeRecorder noticeRecorder;
    private final StoreFollower follower;
    private final PeerSessions peers;
    private final CrashHistory crashHistory = new CrashHistory(clock);
    private final DemandMeter demandMeter = new DemandMeter(clock);
    private final StageOrders orders;
    private final Undertow server;
    private final DrainPolicy drainPolicy;

    /**
     * Creates all components. Nothing listens before {@link #start()}.
     *
     * @param settings validated settings
     * @param callerProtocol decodes requests of callers
     * @param upstreamProtocol encodes requests to upstreams and decodes their responses
     * @param storeProtocol encodes requests to the configuration store and decodes its responses
     * @throws UncheckedIOException if the I/O thread cannot be started
     */
    public GatewayProcess(
            GatewaySettings settings,
            CallerProtocol callerProtocol,
            UpstreamProtocol upstreamProtocol,
            StoreProtocol storeProtocol) {
        this.settings = settings;
        this.storeProtocol = storeProtocol;
        this.log = new DecisionLog(settings.instance(), clock, System.out);
        this.drainPolicy = new DrainPolicy(clock, settings.terminationGraceMillis());
        this.worker = createWorker();
        this.loop = new IoThreadLoop(worker.getIoThread());
        HttpClient client = HttpClient.withWorker(worker);
        metrics.gauge(
                "upstream_connections_open",
                () -> () -> client.connectionCounts().open());
        metrics.gauge(
                "upstream_connections_abandoned",
                () -> () -> client.connectionCounts().abandoned());
        this.pool = new InstancePool(
                fleet, clock, settings.failureDomain(), settings.instance().hashCode());
        this.noticeRecorder = new InstanceNoticeRecorder(pool.notices(), log, metrics);
        this.follower = new StoreFollower(storeProtocol, client, loop, clock, new FleetUpdates());
        metrics.gauge("store_era", () -> follower::era);
        RetryAllowance retryAllowance = new RetryAllowance(
                clock,
                settings.retryWindowMillis(),
                settings.retryRatio(),
                settings.fixedRetriesPerWindow(),
                this::maximumEntryCount);
        UpstreamClient upstreamClient = new UpstreamClient(client, upstreamProtocol, noticeRecorder);
        FrontHandlerFactory handlerFactory = new FrontHandlerFactory(
                loop,
                clock,
                upstreamClient,
                upstreamProtocol,
                fleet,
                pool,
                retryAllowance,
                crashHistory,
                demandMeter,
                log,
                new RequestMetrics(metrics));
        String peerAddress = PeerSessions.formatAddress(settings.peerAddress());
        this.orders = new StageOrders(
                new OrderLeadership(clock, peerAddress, entryNumber(settings.peerAddress())),
                fleet,
                pool,
                demandMeter,
                upstreamProtocol,
                upstreamClient,
                clock,
                log,
                settings.instance());
        this.peers = new PeerSessions(
                settings.instance(),
                settings.peerAddress(),
                settings.peerKey(),
                settings.seeds(),
                settings.addressParser(),
                loop,
                clock,
                new PeerUpdates(),
                log);
        this.server = Undertow.builder()
                .setWorker(worker)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .addHttpListener(
                        settings.callerAddress().getPort(),
                        settings.callerAddress().getHostString(),
                        handlerFactory.handler(callerProtocol, drainPolicy, openRequests))
                .addHttpListener(
                        settings.readyAddress().getPort(),
                        settings.readyAddress().getHostString(),
                        this::handleOperatorRequest)
                .build();
    }

    /** Returns the number of entries that share the retry allowance. */
    private int maximumEntryCount() {
        return EntryCountBound.of(peers.maximumKnownCount() + 1, peers.memberListReceived());
    }

    /** Returns the last three octets of the address. All entries of a site have the same first octet. */
    private static long entryNumber(InetSocketAddress address) {
        byte[] octets = address.getAddress().getAddress();
        return new BigInteger(1, Arrays.copyOfRange(octets, octets.length - 3, octets.length)).longValue();
    }

    private static XnioWorker createWorker() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_NAME, "gateway")
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException exception) {
            throw new UncheckedIOException("could not start the I/O thread", exception);
        }
    }

    /** Starts to listen, to read the configuration store and to connect to other entries. Call once. */
    public void start() {
        server.start();
        loop.execute(follower::start);
        peers.start();
        log.line("start")
                .with("callers", settings.callerAddress().toString())
                .with("store", settings.storeAddress().toString())
                .write();
    }

    /**
     * Applies changed settings. New seeds take effect immediately, all other changes require a restart. May be called
     * on any thread.
     *
     * @param changed the settings, or an error message, in which case the current settings stay in effect
     */
    public void reload(Either<String, GatewaySettings> changed) {
        loop.execute(() -> {
            changed.forEach(valid -> peers.addAddresses(valid.seeds()));
            log.line("reload")
                    .with("outcome", changed.fold(problem -> problem, valid -> "seeds applied"))
                    .write();
        });
    }

    /**
     * Starts to drain: reports not ready, completes open requests, then exits. Further calls have no effect. May be
     * called on any thread.
     *
     * @param exit ends the process; called on the event loop when {@link DrainPolicy} allows it
     */
    public void drain(Runnable exit) {
        loop.execute(() -> {
            if (!drainPolicy.start()) {
                return;
            }
            log.line("drain").with("openRequests", openRequests.count()).write();
            pollUntilDrained(exit);
        });
    }

    /** Stops immediately without draining. For processes that contain more than one entry, such as tests. */
    @Override
    public void close() {
        peers.close();
        server.stop();
        worker.shutdownNow();
    }

    private void pollUntilDrained(Runnable exit) {
        if (drainPolicy.mayStopAccepting(openRequests.count())) {
            drainPolicy.stopAccepting();
            loop.schedule(EXIT_DELAY_MILLIS, () -> exitWhenDone(exit));
        } else {
            loop.schedule(DRAIN_POLL_MILLIS, () -> pollUntilDrained(exit));
        }
    }

    private void exitWhenDone(Runnable exit) {
        if (!drainPolicy.mayExit(openRequests.count())) {
            loop.schedule(DRAIN_POLL_MILLIS, () -> exitWhenDone(exit));
            return;
        }
        log.line("stop")
                .with("openRequests", openRequests.count())
                .with("drainMillis", drainPolicy.elapsedMillis())
                .write();
        loop.schedule(LOG_FLUSH_MILLIS, exit);
    }

    private void handleOperatorRequest(HttpServerExchange exchange) {
        if (exchange.getRequestPath().endsWith("/metrics")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MetricsText.CONTENT_TYPE);
            exchange.getResponseSender().send(MetricsText.write(metrics));
            return;
        }
        boolean ready = fleet.canServeRequests() && !drainPolicy.draining();
        exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    /** Connects the sessions with other entries to the state of this entry. */
    private final class PeerUpdates implements PeerListener {

        @Override
        public EntryStatus status(String address, List<String> members) {
            pool.entryCount(peers.knownCount() + 1);
            if (settings.fencedOrders() && !drainPolicy.draining()) {
                orders.issueIfDue(peers.knownCount(), follower.position().fencingTerm());
            }
            return new EntryStatus(
                    address,
                    members,
                    follower.position(),
                    pool.work(),
                    crashHistory.drainUnsentLosses(),
                    demandMeter.demands(),
                    orders.switching(),
                    orders.highestFencingToken(),
                    pool.notices().recentlyLeaving());
        }

        @Override
        public void onStatus(EntryStatus status) {
            pool.updatePeer(status);
            orders.onStatus(status);
            status.leaving().forEach(instance -> noticeRecorder.onPeerNotice(status.address(), instance));
            status.lostRuns().forEach(run -> crashHistory.recordPeerLoss(run.fingerprint(), run.instance()));
        }

        @Override
        public void onLost(String address) {
            pool.removePeer(address);
            orders.removePeer(address);
            log.line("peer silent").with("peer", address).write();
        }

        @Override
        public boolean isBehind(EntryStatus status) {
            return follower.isBehind(status.storePosition());
        }

        @Override
        public StorePosition storePosition() {
            return follower.position();
        }

        @Override
        public List<StoreChange> changesAfter(StorePosition after) {
            return follower.changesAfter(after);
        }

        @Override
        public void onChanges(List<StoreChange> changes, StorePosition position) {
            log.line("changes relayed")
                    .with("changes", changes.size())
                    .with("from", follower.position().toString())
                    .with("to", position.toString())
                    .write();
            follower.applyRelayed(changes, position);
        }
    }

    /** Applies changes of the configuration store to the routes and the registered instances. */
    private final class FleetUpdates implements StoreListener {

        @Override
        public void onChange(StoreChange change) {
            if (storeProtocol.isConfiguration(change.key())) {
                change.value().flatMap(storeProtocol::readRoutes).ifPresent(this::replaceRoutes);
                return;
            }
            Optional<UpstreamInstance> instance = readInstance(change);
            if (instance.isPresent()) {
                put(instance.get(), change.position());
            } else {
                remove(change);
            }
        }

        private Optional<UpstreamInstance> readInstance(StoreChange change) {
            return change.value()
                    .flatMap(value -> storeProtocol.readInstance(change.key(), value))
                    .map(fleet::withKnownStart);
        }

        private void replaceRoutes(RouteTable routes) {
            boolean replaced = fleet.replaceRoutes(routes);
            log.line(replaced ? "routes in force" : "older routes left out")
                    .with("version", routes.version())
                    .with("hosts", routes.routesByHost().size())
                    .write();
        }

        private void put(UpstreamInstance instance, StorePosition position) {
            Optional<UpstreamInstance> previous = fleet.put(instance);
            if (!previous.equals(Optional.of(instance))) {
                log.line("instance registered")
                        .with("instance", instance.identifier())
                        .with("service", instance.service())
                        .with("address", instance.address().toString())
                        .with("stage", instance.stage().name())
                        .with("leaving", String.valueOf(instance.leaving()))
                        .with("revision", position.revision())
                        .with("era", position.era())
                        .write();
            }
        }

        private void remove(StoreChange change) {
            storeProtocol
                    .instanceIdentifier(change.key())
                    .flatMap(fleet::remove)
                    .ifPresent(removed -> {
                        pool.remove(removed.identifier());
                        pool.notices().onRemoved(removed);
                        log.line("instance gone")
                                .with("instance", removed.identifier())
                                .with("revision", change.position().revision())
                                .with("era", change.position().era())
                                .write();
                    });
        }

        @Override
        public boolean revives(StoreChange change) {
            Optional<UpstreamInstance> instance = readInstance(change);
            return instance.filter(changed -> !changed.leaving())
                    .flatMap(changed -> fleet.find(changed.identifier())
                            .filter(UpstreamInstance::leaving)
                            .filter(known -> known.startedUnixMillis() == changed.startedUnixMillis()))
                    .isPresent();
        }

        @Override
        public void onRestored(long previousEra, long era) {
            log.line("store restored")
                    .with("previousEra", previousEra)
                    .with("era", era)
                    .write();
        }

        @Override
        public void onReachable(boolean reachable, String reason) {
            log.line(reachable ? "store regained" : "store lost")
                    .with("reason", reason)
                    .write();
        }
    }
}
