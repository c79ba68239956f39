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
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.OrderLeadership;
import org.merlinwood.gateway.decision.RetryAllowance;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StoreFollower;
import org.merlinwood.gateway.follow.StoreListener;
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
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.http.HttpClient;
import org.merlinwood.operation.log.DecisionLog;
import org.merlinwood.operation.metric.MetricsText;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** One entry: started once, drained once. Everything but the sessions with peers runs on one I/O thread. */
public final class GatewayProcess implements AutoCloseable {

    /** How often the end of the drain is looked for, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 20;

    /** Time between the last answer and the end, in milliseconds: requests on their way meanwhile are refused. */
    private static final long CLOSED_MILLIS = 100;

    /** Time for the last log lines to be written, in milliseconds. */
    private static final long LAST_LINES_MILLIS = 5;

    /** Entries that a small site may grow to. */
    private static final int LEAST_ENTRIES = 8;

    /** Entries of a grown site, as a multiple of those that are known. */
    private static final double SPARE_ENTRIES = 1.5;

    /** Entries of a large fleet, while none is known. */
    private static final int UNKNOWN_FLEET_ENTRIES = 64;

    /** Longest time that a connection may stay idle, in milliseconds; above any limit that operators set. */
    private static final int IDLE_LIMIT_MILLIS = 120_000;

    private final GatewaySettings settings;
    private final MillisClock clock = SystemMillisClock.shared();
    private final DecisionLog log;
    private final MetricRegistry metrics = new MetricRegistry();
    private final FleetState fleet = new FleetState();
    private final OpenRequests open = new OpenRequests();
    private final StoreProtocol storeProtocol;
    private final XnioWorker worker;
    private final EventLoop loop;
    private final InstancePool pool;
    private final StoreFollower follower;
    private final PeerSessions peers;
    private final CrashHistory crashes = new CrashHistory(clock);
    private final DemandMeter meter = new DemandMeter(clock);
    private final StageOrders orders;
    private final Undertow server;
    private final DrainPolicy departure;

    /**
     * Creates the parts; nothing listens before {@link #start()}.
     *
     * @param settings the settings
     * @param callerProtocol reads requests
     * @param upstreamProtocol writes calls to upstreams
     * @param storeProtocol writes calls to the store
     */
    public GatewayProcess(
            GatewaySettings settings,
            CallerProtocol callerProtocol,
            UpstreamProtocol upstreamProtocol,
            StoreProtocol storeProtocol) {
        this.settings = settings;
        this.storeProtocol = storeProtocol;
        this.log = new DecisionLog(settings.instance(), clock, System.out);
        this.departure = new DrainPolicy(clock, settings.graceMillis());
        this.worker = createWorker();
        this.loop = new IoThreadLoop(worker.getIoThread());
        HttpClient client = HttpClient.withWorker(worker);
        this.pool = new InstancePool(
                fleet, clock, settings.domain(), settings.instance().hashCode());
        this.follower = new StoreFollower(storeProtocol, client, loop, clock, new FleetUpdates());
        RetryAllowance allowance = new RetryAllowance(
                clock,
                settings.repeatWindowMillis(),
                settings.repeatRatio(),
                settings.repeatFixed(),
                this::possibleEntries);
        FrontHandlerFactory front = new FrontHandlerFactory(
                loop,
                clock,
                client,
                upstreamProtocol,
                fleet,
                pool,
                allowance,
                crashes,
                meter,
                log,
                new RequestMetrics(metrics));
        String peerAddress = PeerSessions.formatAddress(settings.peerAddress());
        this.orders = new StageOrders(
                new OrderLeadership(clock, peerAddress, entryNumber(settings.peerAddress())),
                fleet,
                pool,
                meter,
                upstreamProtocol,
                client,
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
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_LIMIT_MILLIS)
                .addHttpListener(
                        settings.callerAddress().getPort(),
                        settings.callerAddress().getHostString(),
                        front.handler(callerProtocol, departure, open))
                .addHttpListener(
                        settings.readyAddress().getPort(),
                        settings.readyAddress().getHostString(),
                        this::answerOperator)
                .build();
    }

    /** Entries that may exist: known ones and some that may be added; a large fleet until others are known. */
    private int possibleEntries() {
        int known = peers.maximumKnownCount() + 1;
        return known == 1 ? UNKNOWN_FLEET_ENTRIES : Math.max(LEAST_ENTRIES, (int) Math.ceil(known * SPARE_ENTRIES));
    }

    /** The last three octets of the address: entries of one site share the first. */
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
            throw new UncheckedIOException("the I/O thread could not be started", exception);
        }
    }

    // ------------------------------------------------------------------ life-cycle

    /** Listens and begins to read the store. */
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
     * Takes changed settings: new seeds are used at once, everything else at the next start.
     *
     * @param changed the settings, or what is wrong with them, in which case the old ones stay
     */
    public void reload(Either<String, GatewaySettings> changed) {
        loop.execute(() -> {
            changed.forEach(valid -> peers.addAddresses(valid.seeds()));
            log.line("reload")
                    .with("outcome", changed.fold(problem -> problem, valid -> "seeds taken"))
                    .write();
        });
    }

    /**
     * Leaves: says that it is not ready, finishes what is open, and ends the process.
     *
     * @param end ends the process
     */
    public void drain(Runnable end) {
        loop.execute(() -> {
            if (!departure.start()) {
                return;
            }
            log.line("drain").with("openRequests", open.count()).write();
            awaitEnd(end);
        });
    }

    /** Closes everything at once; for processes that hold more than one entry. */
    @Override
    public void close() {
        peers.close();
        server.stop();
        worker.shutdownNow();
    }

    private void awaitEnd(Runnable end) {
        if (departure.mayStopAccepting(open.count())) {
            departure.stopAccepting();
            loop.schedule(CLOSED_MILLIS, () -> endWhenDone(end));
        } else {
            loop.schedule(DRAIN_POLL_MILLIS, () -> awaitEnd(end));
        }
    }

    private void endWhenDone(Runnable end) {
        if (!departure.mayExit(open.count())) {
            loop.schedule(DRAIN_POLL_MILLIS, () -> endWhenDone(end));
            return;
        }
        log.line("stop")
                .with("openRequests", open.count())
                .with("drainMillis", departure.elapsedMillis())
                .write();
        loop.schedule(LAST_LINES_MILLIS, end);
    }

    // ------------------------------------------------------------------ internals

    private void answerOperator(HttpServerExchange exchange) {
        if (exchange.getRequestPath().endsWith("/metrics")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MetricsText.CONTENT_TYPE);
            exchange.getResponseSender().send(MetricsText.write(metrics));
            return;
        }
        boolean ready = fleet.usable() && !departure.draining();
        exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    /** What the sessions with other entries need of this one. */
    private final class PeerUpdates implements PeerListener {

        @Override
        public EntryStatus status(String address, List<String> members) {
            pool.entryCount(peers.knownCount() + 1);
            if (settings.fencedOrders() && !departure.draining()) {
                orders.issueIfDue(peers.knownCount(), follower.revision());
            }
            return new EntryStatus(
                    address,
                    members,
                    follower.revision(),
                    pool.work(),
                    crashes.drainUnsentLosses(),
                    meter.demands(),
                    orders.switching(),
                    orders.highestFencingToken());
        }

        @Override
        public void onStatus(EntryStatus news) {
            pool.updatePeer(news);
            orders.onStatus(news);
            news.lostRuns().forEach(run -> crashes.recordPeerLoss(run.fingerprint(), run.instance()));
        }

        @Override
        public void onLost(String address) {
            pool.removePeer(address);
            orders.removePeer(address);
            log.line("peer silent").with("peer", address).write();
        }

        @Override
        public boolean isBehind(EntryStatus news) {
            return follower.isBehind(news.storeRevision());
        }

        @Override
        public long storeRevision() {
            return follower.revision();
        }

        @Override
        public List<StoreChange> changesAfter(long after) {
            return follower.changesAfter(after);
        }

        @Override
        public void onChanges(List<StoreChange> changes, long revision) {
            log.line("changes relayed")
                    .with("changes", changes.size())
                    .with("from", follower.revision())
                    .with("to", revision)
                    .write();
            follower.applyRelayed(changes, revision);
        }
    }

    /** Turns changes of the store into routes and instances. */
    private final class FleetUpdates implements StoreListener {

        @Override
        public void onChange(StoreChange change) {
            if (storeProtocol.isConfiguration(change.key())) {
                change.value().flatMap(storeProtocol::readRoutes).ifPresent(this::replaceRoutes);
                return;
            }
            Optional<UpstreamInstance> instance =
                    change.value().flatMap(value -> storeProtocol.readInstance(change.key(), value));
            if (instance.isPresent()) {
                put(instance.get(), change.revision());
            } else {
                remove(change);
            }
        }

        private void replaceRoutes(RouteTable routes) {
            boolean inForce = fleet.replaceRoutes(routes);
            log.line(inForce ? "routes in force" : "older routes left out")
                    .with("version", routes.version())
                    .with("hosts", routes.routesByHost().size())
                    .write();
        }

        private void put(UpstreamInstance instance, long revision) {
            Optional<UpstreamInstance> before = fleet.put(instance);
            if (!before.equals(Optional.of(instance))) {
                log.line("instance registered")
                        .with("instance", instance.identifier())
                        .with("service", instance.service())
                        .with("address", instance.address().toString())
                        .with("stage", instance.stage().name())
                        .with("leaving", String.valueOf(instance.leaving()))
                        .with("revision", revision)
                        .write();
            }
        }

        private void remove(StoreChange change) {
            storeProtocol.instanceOf(change.key()).flatMap(fleet::remove).ifPresent(gone -> {
                pool.remove(gone.identifier());
                log.line("instance gone")
                        .with("instance", gone.identifier())
                        .with("revision", change.revision())
                        .write();
            });
        }

        @Override
        public void onReachable(boolean reachable, String reason) {
            log.line(reachable ? "store regained" : "store lost")
                    .with("reason", reason)
                    .write();
        }
    }
}
