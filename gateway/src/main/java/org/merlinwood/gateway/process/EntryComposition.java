package org.merlinwood.gateway.process;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.gateway.allotment.AllotmentLedger;
import org.merlinwood.gateway.crash.CrashCausingParts;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.decision.EntryCountBound;
import org.merlinwood.gateway.decision.HeldPrompts;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.MemoryCompetition;
import org.merlinwood.gateway.decision.OrderLeadership;
import org.merlinwood.gateway.decision.RetryAllowance;
import org.merlinwood.gateway.decision.StreamOrigins;
import org.merlinwood.gateway.decision.VersionHistory;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.follow.ConfirmationDemand;
import org.merlinwood.gateway.follow.StoreFollower;
import org.merlinwood.gateway.follow.StoreProtocol;
import org.merlinwood.gateway.follow.StoreReread;
import org.merlinwood.gateway.front.CallerCheck;
import org.merlinwood.gateway.front.CallerConnections;
import org.merlinwood.gateway.front.CallerListener;
import org.merlinwood.gateway.front.ClientLimits;
import org.merlinwood.gateway.front.FrontHandlerFactory;
import org.merlinwood.gateway.front.OpenRequests;
import org.merlinwood.gateway.front.RequestMetrics;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.gateway.loop.IoThreadLoop;
import org.merlinwood.gateway.order.StageOrders;
import org.merlinwood.gateway.peer.CopySource;
import org.merlinwood.gateway.peer.PeerSessions;
import org.merlinwood.gateway.request.CallerProtocol;
import org.merlinwood.gateway.route.RouteTable;
import org.merlinwood.gateway.upstream.UpstreamClient;
import org.merlinwood.gateway.upstream.UpstreamProtocol;
import org.merlinwood.gateway.workspace.CallerIdentification;
import org.merlinwood.http.HeldBytes;
import org.merlinwood.http.HttpClient;
import org.merlinwood.operation.log.DecisionLog;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The components of one entry, connected with each other. Nothing listens or runs yet, but for the I/O thread; their
 * life cycle is that of {@link GatewayProcess}. The fields are set once, by the constructor.
 */
final class EntryComposition {

    /** Idle timeout of caller connections, in milliseconds. Longer than any timeout that operators configure. */
    private static final int IDLE_TIMEOUT_MILLIS = 120_000;

    /**
     * Idle timeout of connections to the readiness check and the metrics, and maximum time for a head, in milliseconds.
     */
    private static final int OPERATOR_IDLE_TIMEOUT_MILLIS = 15_000;

    /** Maximum head, and maximum body, of a request for the readiness check or the metrics, in bytes. */
    private static final int OPERATOR_REQUEST_BYTES = 16 << 10;

    /** Connections that are accepted for the readiness check and the metrics; the others keep their descriptors. */
    private static final int OPERATOR_CONNECTIONS = 128;

    /** Number of different lengths of a block of prompt parts among the entries. */
    private static final int BLOCK_TIME_STEPS = 1_024;

    /** Spreads the hash codes of similar names. */
    private static final int BLOCK_TIME_HASH_FACTOR = 0x9E3779B1;

    /** Size of a buffer for bytes of a connection, in bytes. */
    private static final int CONNECTION_BUFFER_BYTES = 1_024;

    /** Maximum request body until a route table sets the limit, in bytes. */
    private static final long DEFAULT_BODY_BYTES = 4L << 20;

    /** Heads are cut off at so many times their configured limit, so that none within it is, however it is counted. */
    private static final int HEAD_LIMIT_FACTOR = 2;

    private static final OptionMap CONNECTION_OPTIONS = OptionMap.builder()
            .set(UndertowOptions.DECODE_URL, false)
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
            // The limit of bodies is that of the configuration. The default of the server is half of it.
            .set(UndertowOptions.MAX_ENTITY_SIZE, Long.MAX_VALUE)
            .getMap();

    final DecisionLog log;
    final XnioWorker worker;
    final EventLoop loop;
    final StoreFollower follower;
    final PeerSessions peers;
    final CallerListener callerListener;
    final Undertow operatorServer;
    final DrainSequence drainSequence;

    private final MillisClock clock = SystemMillisClock.shared();
    private final MetricRegistry metrics = new MetricRegistry();
    private final FleetState fleet = new FleetState();
    private final CrashHistory crashHistory = new CrashHistory(clock);
    private final CrashCausingParts crashCausingParts;
    private final StreamOrigins origins = new StreamOrigins(clock);
    private final HeldPrompts heldPrompts = new HeldPrompts(fleet, clock);
    private final VersionHistory versionHistory = new VersionHistory(fleet, clock);
    private final DemandMeter demandMeter = new DemandMeter(clock);
    private final OpenRequests openRequests = new OpenRequests();
    private final GatewaySettings settings;
    private final AllotmentLedger allotments;
    private final MemoryCompetition memoryCompetition;
    private final DrainPolicy drainPolicy;
    private final CallerConnections connections;
    private final InstancePool pool;
    private final StoreReread storeReread;
    private final ConfirmationDemand confirmationDemand;
    private final InstanceNoticeRecorder noticeRecorder;

    /**
     * Creates all components.
     *
     * @param settings validated settings
     * @param callerProtocol decodes requests of callers
     * @param upstreamProtocol encodes requests to upstreams and decodes their responses
     * @param storeProtocol encodes requests to the configuration store and decodes its responses
     * @throws UncheckedIOException if the I/O thread cannot be started
     */
    EntryComposition(
            GatewaySettings settings,
            CallerProtocol callerProtocol,
            UpstreamProtocol upstreamProtocol,
            StoreProtocol storeProtocol) {
        this.settings = settings;
        this.allotments = new AllotmentLedger(settings.instance().hashCode(), clock, settings.allotmentLimits());
        this.log = new DecisionLog(settings.instance(), clock, System.out);
        this.crashCausingParts =
                new CrashCausingParts(clock, blockTimeFactor(settings.instance()), new CrashRecorder(log, metrics));
        this.drainPolicy = new DrainPolicy(clock, settings.terminationGraceMillis());
        this.memoryCompetition = new MemoryCompetition(clock, settings.rankWaitingRequests());
        this.worker = createWorker();
        this.loop = new IoThreadLoop(worker.getIoThread());
        ClientLimits limits = createLimits();
        this.connections = new CallerConnections(
                loop, clock, IDLE_TIMEOUT_MILLIS, log, metrics, limits, ProcessLimits.callerConnections());
        HttpClient client = HttpClient.withWorker(worker);
        this.pool = new InstancePool(
                fleet, clock, settings.failureDomain(), settings.instance().hashCode());
        this.noticeRecorder = new InstanceNoticeRecorder(pool.notices(), log, metrics);
        this.follower = new StoreFollower(
                storeProtocol,
                client,
                loop,
                clock,
                new FleetUpdates(storeProtocol, fleet, pool, versionHistory, settings.callerAddress(), log));
        this.storeReread = new StoreReread(storeProtocol, client, loop, follower);
        UpstreamClient upstreamClient = new UpstreamClient(client, upstreamProtocol, noticeRecorder);
        this.peers = createPeers(createOrders(upstreamClient, upstreamProtocol));
        this.confirmationDemand = new ConfirmationDemand(
                follower.confirmation(),
                storeReread,
                peers.confirmationPeers(),
                settings.revocationLimit().confirmAfterMillis(),
                settings.revocationLimit().confirmByStoreAfterMillis(),
                clock);
        WorkUpdates.start(pool.sharedWork(), loop, peers::sendWork);
        FrontHandlerFactory handlerFactory = createHandlerFactory(upstreamClient, upstreamProtocol);
        this.follower.onFirstListing(handlerFactory::readHeldPrompts);
        ByteBufferPool buffers = new DefaultByteBufferPool(true, CONNECTION_BUFFER_BYTES);
        this.callerListener = new CallerListener(
                settings.callerAddress(),
                worker,
                buffers,
                CONNECTION_OPTIONS,
                handlerFactory.handler(callerProtocol, drainPolicy, openRequests, connections, limits),
                connections,
                loop);
        this.drainSequence = new DrainSequence(drainPolicy, openRequests::count, callerListener, loop, log);
        this.operatorServer = createOperatorServer(buffers);
        addGauges(client);
    }

    private ClientLimits createLimits() {
        return new ClientLimits(
                HeldBytes.ofHeap(Runtime.getRuntime().maxMemory(), clock),
                () -> HEAD_LIMIT_FACTOR
                        * fleet.routes().map(RouteTable::maximumHeaderBytes).orElse(RouteTable.DEFAULT_HEADER_BYTES),
                () -> fleet.routes().map(RouteTable::maximumBodyBytes).orElse(DEFAULT_BODY_BYTES));
    }

    private void addGauges(HttpClient client) {
        metrics.gauge(
                "upstream_connections_open",
                () -> () -> client.connectionCounts().open());
        metrics.gauge(
                "upstream_connections_abandoned",
                () -> () -> client.connectionCounts().abandoned());
        metrics.gauge("store_era", () -> follower::era);
        metrics.gauge("stream_origins_kept", () -> origins::size);
        metrics.gauge(
                "store_copy_age_milliseconds",
                () -> () -> follower.confirmation().ageMillis().orElse(-1));
        metrics.gauge("allotment_workspaces_active", () -> allotments::activeWorkspaces);
        metrics.gauge("allotment_share", () -> allotments::share);
        metrics.gauge("allotment_report_age_milliseconds", () -> allotments::reportAgeMillis);
        metrics.gauge("prompt_parts_blocked", () -> crashCausingParts::blockedCount);
    }

    private FrontHandlerFactory createHandlerFactory(UpstreamClient upstreamClient, UpstreamProtocol upstreamProtocol) {
        RetryAllowance retryAllowance = new RetryAllowance(
                clock,
                settings.retryWindowMillis(),
                settings.retryRatio(),
                settings.fixedRetriesPerWindow(),
                this::maximumEntryCount);
        return new FrontHandlerFactory(
                loop,
                clock,
                upstreamClient,
                upstreamProtocol,
                fleet,
                pool,
                retryAllowance,
                crashHistory,
                crashCausingParts,
                origins,
                versionHistory,
                peers.originPeers(),
                heldPrompts,
                storeReread,
                createCallerCheck(),
                demandMeter,
                allotments,
                memoryCompetition,
                log,
                new RequestMetrics(metrics));
    }

    private CallerCheck createCallerCheck() {
        return new CallerCheck(
                new CallerIdentification(settings.revocationLimit()),
                fleet,
                follower.confirmation(),
                confirmationDemand,
                clock);
    }

    private StageOrders createOrders(UpstreamClient upstreamClient, UpstreamProtocol upstreamProtocol) {
        String peerAddress = PeerSessions.formatAddress(settings.peerAddress());
        return new StageOrders(
                new OrderLeadership(clock, peerAddress, entryNumber(settings.peerAddress())),
                fleet,
                pool,
                demandMeter,
                upstreamProtocol,
                upstreamClient,
                clock,
                log,
                settings.instance());
    }

    private PeerSessions createPeers(StageOrders orders) {
        PeerUpdates listener = new PeerUpdates(
                pool,
                noticeRecorder,
                follower,
                crashHistory,
                crashCausingParts,
                origins,
                heldPrompts,
                versionHistory,
                demandMeter,
                orders,
                new EntryReports(
                        clock.wallMillis(),
                        fleet,
                        pool,
                        allotments,
                        memoryCompetition,
                        () -> knownEntryCount() + 1,
                        () -> peers.memberListReceived(),
                        drainPolicy::draining),
                this::knownEntryCount,
                () -> settings.fencedOrders() && !drainPolicy.draining(),
                log);
        return new PeerSessions(
                settings.instance(),
                settings.peerAddress(),
                settings.peerKey(),
                settings.seeds(),
                settings.addressParser(),
                loop,
                clock,
                listener,
                new CopySource(
                        follower.confirmation(),
                        follower::readPosition,
                        this::configurationVersion,
                        () -> confirmationDemand.onPeerAsked()),
                log);
    }

    private long configurationVersion() {
        return fleet.routes().map(RouteTable::version).orElse(0L);
    }

    private Undertow createOperatorServer(ByteBufferPool buffers) {
        return Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, OPERATOR_IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, OPERATOR_IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, OPERATOR_REQUEST_BYTES)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) OPERATOR_REQUEST_BYTES)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, OPERATOR_CONNECTIONS)
                .setSocketOption(Options.CONNECTION_LOW_WATER, OPERATOR_CONNECTIONS - 1)
                .addHttpListener(
                        settings.readyAddress().getPort(),
                        settings.readyAddress().getHostString(),
                        new StateDumpHandler(
                                List.of(
                                        new NoticesSection(pool.notices()),
                                        new StoreSection(follower),
                                        new WorkspacesSection(
                                                fleet, follower.confirmation(), settings.revocationLimit()),
                                        new BlockedPartsSection(crashCausingParts),
                                        new AllotmentsSection(allotments)),
                                new OperatorHandler(metrics, fleet, drainPolicy)))
                .build();
    }

    /** Returns the number of other entries that this one knows, reachable or not. */
    private int knownEntryCount() {
        return peers.knownCount();
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

    /** Returns a factor from 1 to 2 that differs between entries. */
    private static double blockTimeFactor(String instance) {
        return 1
                + Math.floorMod(instance.hashCode() * BLOCK_TIME_HASH_FACTOR, BLOCK_TIME_STEPS)
                        / (double) BLOCK_TIME_STEPS;
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
}
