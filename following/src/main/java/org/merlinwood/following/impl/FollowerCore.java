package org.merlinwood.following.impl;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.following.FollowerState;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.wire.Frame;

/** Ties watches, peers and documents together. Everything but the volatile reads runs on the control thread. */
public final class FollowerCore implements ServiceWatch.Listener {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 500;
    private static final long PAUSE_MILLIS = 2_000;
    private static final long SEED_PATIENCE_MILLIS = 3_500;
    private static final long CATCH_UP_LIMIT_MILLIS = 1_000;

    private final ProcessSettings settings;
    private final ControlTimer timer;
    private final MillisClock clock;
    private final MetricRegistry metrics;
    private final Jitter jitter;
    private final DocumentStore store;
    private final ServiceWatches watches;
    private final Subscribers subscribers;
    private final PeerServer peerServer;
    private final List<Consumer<ActiveConfiguration>> listeners = new CopyOnWriteArrayList<>();
    private final List<CatchUp> catchUps = new ArrayList<>();
    private final Counter serviceFailures;
    private volatile Optional<ActiveConfiguration> current = Optional.empty();
    private volatile boolean settled;
    private Optional<PeerFollowing> peers = Optional.empty();
    private long inventoryRevision;
    private long lastTickMillis;
    private boolean closed;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the state; nothing happens before it is started.
     *
     * @param settings settings of the process
     * @param timer runs everything
     * @param clock the clock
     * @param service the configuration service
     * @param metrics registry for the metrics
     * @param seed seed of the jitter
     */
    public FollowerCore(
            ProcessSettings settings,
            ControlTimer timer,
            MillisClock clock,
            ConfigurationService service,
            MetricRegistry metrics,
            long seed) {
        this.settings = settings;
        this.timer = timer;
        this.clock = clock;
        this.metrics = metrics;
        this.jitter = new Jitter(seed);
        this.store = new DocumentStore(clock, metrics, this::onAccepted);
        this.watches = new ServiceWatches(service, timer, clock, jitter, store, this);
        this.subscribers = new Subscribers(store);
        this.peerServer = new PeerServer(timer, store, subscribers);
        this.serviceFailures = metrics.counter("following.service.failures");
    }

    /** Starts to follow the configuration service alone. */
    public void start() {
        timer.execute(() -> begin(Optional.empty()));
    }

    /**
     * Starts to follow through peers as well.
     *
     * @param endpoint reaches them
     */
    public void start(PeerEndpoint endpoint) {
        start(new ProtocolPeers(endpoint, timer));
    }

    void start(Peers reachable) {
        timer.execute(() -> begin(Optional.of(
                new PeerFollowing(settings, timer, jitter, store, reachable, watches, metrics, () -> settled = true))));
    }

    /** Ends all calls; what is in force stays readable. */
    public void close() {
        timer.execute(() -> {
            closed = true;
            watches.stop();
            peers.ifPresent(PeerFollowing::close);
        });
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns what is in force. Thread-safe and cheap.
     *
     * @return both documents, empty before both were seen
     */
    public Optional<ActiveConfiguration> current() {
        return current;
    }

    /**
     * Returns the revisions in force. Thread-safe and cheap.
     *
     * @return the revisions
     */
    public Revisions revisions() {
        return store.revisions();
    }

    /**
     * Tells whether the process may serve. Thread-safe and cheap.
     *
     * @return true once both documents are in force and the seed peers were asked
     */
    public boolean isReady() {
        return settled && current.isPresent();
    }

    /**
     * Adds a listener; it hears of what is in force already at once.
     *
     * @param listener called on the control thread
     */
    public void addListener(Consumer<ActiveConfiguration> listener) {
        timer.execute(() -> {
            listeners.add(listener);
            current.ifPresent(configuration -> tell(listener, configuration));
        });
    }

    /**
     * Describes the state. Called on the control thread.
     *
     * @return the state
     */
    public FollowerState state() {
        return new FollowerState(
                isReady(),
                watches.isRunning(),
                peers.map(PeerFollowing::subscribedTo).orElse(""),
                subscribers.count(),
                watches.failures(),
                store.state(DocumentKind.INVENTORY),
                store.state(DocumentKind.RULES));
    }

    // ------------------------------------------------------------------ peers that ask

    /**
     * Accepts a peer's request for documents. Called on an event loop.
     *
     * @param exchange the exchange
     * @param first its first frame
     * @return the listener of the exchange
     */
    public ExchangeListener acceptRequest(Exchange exchange, Frame first) {
        return peerServer.acceptRequest(exchange, first);
    }

    /**
     * Accepts a peer's subscription. Called on an event loop.
     *
     * @param exchange the exchange
     * @param first its first frame
     * @return the listener of the exchange
     */
    public ExchangeListener acceptSubscription(Exchange exchange, Frame first) {
        return peerServer.acceptSubscription(exchange, first);
    }

    /**
     * Takes note of a correspondent's revisions. Thread-safe and cheap where this process is not behind.
     *
     * @param connection the connection to it
     * @param theirs its revisions
     */
    public void onPeerRevisions(PeerConnection connection, Revisions theirs) {
        if (store.revisions().isBehind(theirs)) {
            onPeerRevisions(ProtocolPeers.of(connection, timer), theirs);
        }
    }

    void onPeerRevisions(Peer peer, Revisions theirs) {
        timer.execute(() -> peers.ifPresent(following -> following.onRevisions(peer, theirs)));
    }

    /**
     * Catches up with a correspondent before work goes on. Thread-safe.
     *
     * @param connection the connection to it
     * @param wanted its revisions
     * @return the revisions in force once they are as high as wanted, or what is in force after a bounded time
     */
    public CompletionStage<Revisions> catchUp(PeerConnection connection, Revisions wanted) {
        return catchUp(ProtocolPeers.of(connection, timer), wanted);
    }

    CompletionStage<Revisions> catchUp(Peer peer, Revisions wanted) {
        if (!store.revisions().isBehind(wanted)) {
            return CompletableFuture.completedFuture(store.revisions());
        }
        CatchUp waiting = new CatchUp(wanted, new CompletableFuture<>());
        timer.execute(() -> {
            catchUps.add(waiting);
            peers.ifPresent(following -> following.catchUpNow(peer));
            completeCatchUps();
        });
        timer.schedule(CATCH_UP_LIMIT_MILLIS, () -> {
            catchUps.remove(waiting);
            waiting.done().complete(store.revisions());
        });
        return waiting.done();
    }

    Subscribers subscribers() {
        return subscribers;
    }

    DocumentStore store() {
        return store;
    }

    // ------------------------------------------------------------------ answers of the service

    @Override
    public void onDocument(DocumentKind kind, ConfigurationResponse.Published document) {
        store.offer(kind, document.revision(), document.text(), "configuration service");
    }

    @Override
    public void onResponse(DocumentKind kind) {
        peers.ifPresent(PeerFollowing::reevaluate);
    }

    @Override
    public void onFailure(DocumentKind kind) {
        serviceFailures.inc();
        peers.ifPresent(PeerFollowing::reevaluate);
    }

    // ------------------------------------------------------------------ internals

    /** Work that waits for revisions. */
    private record CatchUp(Revisions wanted, CompletableFuture<Revisions> done) {}

    private void completeCatchUps() {
        catchUps.removeIf(waiting -> {
            boolean reached = !store.revisions().isBehind(waiting.wanted());
            return reached && waiting.done().complete(store.revisions());
        });
    }

    private void begin(Optional<PeerFollowing> following) {
        peers = following;
        lastTickMillis = clock.monotonicMillis();
        watches.start();
        settled = peers.isEmpty();
        peers.ifPresent(PeerFollowing::start);
        timer.schedule(SEED_PATIENCE_MILLIS, () -> settled = true);
        timer.schedule(TICK_MILLIS, this::tick);
    }

    private void onAccepted() {
        subscribers.publish();
        if (peers.isPresent() && store.revisions().inventory() != inventoryRevision) {
            inventoryRevision = store.revisions().inventory();
            store.inventory().ifPresent(peers.get()::onInventory);
        }
        Optional<ActiveConfiguration> next = store.current();
        if (next.isPresent()) {
            current = next;
            listeners.forEach(listener -> tell(listener, next.get()));
        }
        completeCatchUps();
    }

    private static void tell(Consumer<ActiveConfiguration> listener, ActiveConfiguration configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("a listener failed on a new configuration");
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = clock.monotonicMillis();
        if (now - lastTickMillis > TICK_MILLIS + PAUSE_MILLIS) {
            logger.atWarning().log("this process was paused for %d ms; it catches up", now - lastTickMillis);
            watches.restart();
            peers.ifPresent(PeerFollowing::restart);
        }
        lastTickMillis = now;
        timer.schedule(TICK_MILLIS, this::tick);
    }
}
