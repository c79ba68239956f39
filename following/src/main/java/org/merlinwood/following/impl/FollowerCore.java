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

/**
 * Coordinates the service watches, peers and documents of one follower.
 *
 * <p>State is confined to the control thread, except the volatile fields. Public methods may be called on any thread
 * unless they say otherwise.
 */
public final class FollowerCore implements ServiceWatch.Listener {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long TICK_INTERVAL_MILLIS = 500;
    private static final long MINIMUM_PAUSE_MILLIS = 2_000;
    private static final long SEED_TIMEOUT_MILLIS = 3_500;
    private static final long CATCH_UP_TIMEOUT_MILLIS = 1_000;

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
    private volatile boolean seedsQueried;
    private Optional<PeerFollowing> peers = Optional.empty();
    private long inventoryRevision;
    private long lastTickMillis;
    private boolean closed;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates a follower, which is inactive until it is started.
     *
     * @param settings settings of the process
     * @param timer runs all tasks on the control thread
     * @param clock source of the monotonic time
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

    /** Starts following the configuration service without peers. */
    public void start() {
        timer.execute(() -> startFollowing(Optional.empty()));
    }

    /**
     * Starts following the configuration service and peers.
     *
     * @param endpoint opens the connections to peers
     */
    public void start(PeerEndpoint endpoint) {
        start(new ProtocolPeers(endpoint, timer));
    }

    void start(Peers reachable) {
        timer.execute(() -> startFollowing(Optional.of(new PeerFollowing(
                settings, timer, jitter, store, reachable, watches, metrics, () -> seedsQueried = true))));
    }

    /** Ends all requests and subscriptions; the active documents stay readable. */
    public void close() {
        timer.execute(() -> {
            closed = true;
            watches.stop();
            peers.ifPresent(PeerFollowing::close);
        });
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the active configuration. Thread-safe and cheap.
     *
     * @return both documents; empty until each has an active revision
     */
    public Optional<ActiveConfiguration> current() {
        return current;
    }

    /**
     * Returns the active revisions. Thread-safe and cheap.
     *
     * @return the revisions, {@link Revisions#NONE} for a document without one
     */
    public Revisions revisions() {
        return store.revisions();
    }

    /**
     * Returns whether the process may serve requests. Thread-safe and cheap.
     *
     * @return true once both documents are active and the seed peers were queried or have timed out
     */
    public boolean isReady() {
        return seedsQueried && current.isPresent();
    }

    /**
     * Adds a listener. It is called with the active configuration first, if there is one, and then on each change.
     *
     * @param listener called on the control thread; must not block
     */
    public void addListener(Consumer<ActiveConfiguration> listener) {
        timer.execute(() -> {
            listeners.add(listener);
            current.ifPresent(configuration -> notifyListener(listener, configuration));
        });
    }

    /**
     * Returns a snapshot for the state dump. Called on the control thread.
     *
     * @return the snapshot
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

    // ------------------------------------------------------------------ requests from peers

    /**
     * Accepts a peer's request for documents. Called on an event loop.
     *
     * @param exchange the exchange
     * @param first its first frame
     * @return the listener for the rest of the exchange
     */
    public ExchangeListener acceptRequest(Exchange exchange, Frame first) {
        return peerServer.acceptRequest(exchange, first);
    }

    /**
     * Accepts a peer's subscription. Called on an event loop.
     *
     * @param exchange the exchange
     * @param first its first frame
     * @return the listener for the rest of the exchange
     */
    public ExchangeListener acceptSubscription(Exchange exchange, Frame first) {
        return peerServer.acceptSubscription(exchange, first);
    }

    /**
     * Catches up with a peer if its revisions are higher. Thread-safe; cheap if this process is not behind.
     *
     * @param connection the connection to the peer
     * @param peerRevisions the revisions of the peer
     */
    public void onPeerRevisions(PeerConnection connection, Revisions peerRevisions) {
        if (store.revisions().isBehind(peerRevisions)) {
            onPeerRevisions(ProtocolPeers.of(connection, timer), peerRevisions);
        }
    }

    void onPeerRevisions(Peer peer, Revisions peerRevisions) {
        timer.execute(() -> peers.ifPresent(following -> following.onRevisions(peer, peerRevisions)));
    }

    /**
     * Fetches from a peer immediately because a request waits for its revisions. Thread-safe.
     *
     * @param connection the connection to the peer
     * @param wanted the revisions of the peer
     * @return completes with the active revisions once they are at least the wanted ones, or after a time limit
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
        timer.schedule(CATCH_UP_TIMEOUT_MILLIS, () -> {
            catchUps.remove(waiting);
            waiting.result().complete(store.revisions());
        });
        return waiting.result();
    }

    Subscribers subscribers() {
        return subscribers;
    }

    DocumentStore store() {
        return store;
    }

    // ------------------------------------------------------------------ responses of the service

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

    /** A caller of {@code catchUp} that waits for revisions. */
    private record CatchUp(Revisions wanted, CompletableFuture<Revisions> result) {}

    private void completeCatchUps() {
        catchUps.removeIf(waiting -> {
            boolean reached = !store.revisions().isBehind(waiting.wanted());
            return reached && waiting.result().complete(store.revisions());
        });
    }

    private void startFollowing(Optional<PeerFollowing> following) {
        peers = following;
        lastTickMillis = clock.monotonicMillis();
        watches.start();
        seedsQueried = peers.isEmpty();
        peers.ifPresent(PeerFollowing::start);
        timer.schedule(SEED_TIMEOUT_MILLIS, () -> seedsQueried = true);
        timer.schedule(TICK_INTERVAL_MILLIS, this::tick);
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
            listeners.forEach(listener -> notifyListener(listener, next.get()));
        }
        completeCatchUps();
    }

    private static void notifyListener(Consumer<ActiveConfiguration> listener, ActiveConfiguration configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("a configuration listener threw an exception");
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = clock.monotonicMillis();
        if (now - lastTickMillis > TICK_INTERVAL_MILLIS + MINIMUM_PAUSE_MILLIS) {
            logger.atWarning().log(
                    "the control thread was paused for %d ms; restarting watches and subscriptions",
                    now - lastTickMillis);
            watches.restart();
            peers.ifPresent(PeerFollowing::restart);
        }
        lastTickMillis = now;
        timer.schedule(TICK_INTERVAL_MILLIS, this::tick);
    }
}
