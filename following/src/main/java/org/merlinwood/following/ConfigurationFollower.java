package org.merlinwood.following;

import com.codahale.metrics.MetricRegistry;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.following.impl.FollowerCore;
import org.merlinwood.following.impl.HttpConfigurationService;
import org.merlinwood.following.impl.LoopTimer;
import org.merlinwood.http.HttpClient;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.operation.port.StateSection;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.wire.Frame;

/**
 * Keeps a process on the highest valid revision of the inventory and the rules.
 *
 * <p>A follower is built, started and closed once. A document with any error is rejected as a whole, and the last valid
 * one stays active. Only a higher revision replaces the active one. Reads are volatile and cheap. Thread-safe.
 */
public final class ConfigurationFollower implements StateSection, AutoCloseable {

    private static final String SECTION = "following";

    private final ControlLoop loop;
    private final FollowerCore core;

    // ------------------------------------------------------------------ configuration

    private ConfigurationFollower(Builder builder) {
        long seed = builder.seed.orElseGet(() -> ThreadLocalRandom.current().nextLong());
        this.loop = new ControlLoop("following");
        this.core = new FollowerCore(
                builder.settings,
                new LoopTimer(loop),
                builder.clock,
                new HttpConfigurationService(builder.httpClient, builder.settings.configurationService(), (int) seed),
                builder.metrics,
                seed);
    }

    /**
     * Returns a builder.
     *
     * @param settings settings of the process
     * @param httpClient sends requests to the configuration service; not closed by the follower
     * @return a new builder
     */
    public static Builder builder(ProcessSettings settings, HttpClient httpClient) {
        return new Builder(settings, httpClient);
    }

    /** Builder of a follower. Not thread-safe. */
    public static final class Builder {

        private final ProcessSettings settings;
        private final HttpClient httpClient;
        private MillisClock clock = SystemMillisClock.shared();
        private MetricRegistry metrics = new MetricRegistry();
        private Optional<Long> seed = Optional.empty();

        private Builder(ProcessSettings settings, HttpClient httpClient) {
            this.settings = Objects.requireNonNull(settings, "settings");
            this.httpClient = Objects.requireNonNull(httpClient, "httpClient");
        }

        /**
         * Sets the registry for the metrics. By default a private registry is used, so that metrics are not exported.
         *
         * @param value the registry
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder metrics(MetricRegistry value) {
            metrics = Objects.requireNonNull(value, "metrics");
            return this;
        }

        /**
         * Sets the clock. By default the system clock is used.
         *
         * @param value the clock
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder clock(MillisClock value) {
            clock = Objects.requireNonNull(value, "clock");
            return this;
        }

        /**
         * Sets the seed of the jitter and of the first address of the service. By default it is random.
         *
         * @param value the seed
         * @return this builder
         */
        @CanIgnoreReturnValue
        public Builder seed(long value) {
            seed = Optional.of(value);
            return this;
        }

        /**
         * Builds the follower, which is inactive until it is started.
         *
         * @return the follower
         */
        public ConfigurationFollower build() {
            return new ConfigurationFollower(this);
        }
    }

    // ------------------------------------------------------------------ life-cycle

    /** Starts following the configuration service without peers. */
    public void start() {
        core.start();
    }

    /**
     * Starts following the configuration service and peers.
     *
     * @param endpoint a started endpoint whose builder was passed to {@link #serve}
     */
    public void start(PeerEndpoint endpoint) {
        core.start(endpoint);
    }

    /** Stops following; the active configuration stays readable. */
    @Override
    public void close() {
        core.close();
        loop.close();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the active configuration. Cheap.
     *
     * @return both documents; empty until each has an active revision
     */
    public Optional<ActiveConfiguration> current() {
        return core.current();
    }

    /**
     * Returns the active revisions. Cheap.
     *
     * @return the revisions, {@link Revisions#NONE} for a document without one
     */
    public Revisions revisions() {
        return core.revisions();
    }

    /**
     * Returns whether the process may serve requests. Cheap.
     *
     * @return true once both documents are active and the seed peers, if any, were queried or have timed out
     */
    public boolean isReady() {
        return core.isReady();
    }

    /**
     * Configures an endpoint to serve documents and subscriptions to peers and to send them the active revisions.
     *
     * <p>The observer of the endpoint must pass the revisions of peers to {@link #onPeerRevisions}.
     *
     * @param endpoint builder of the endpoint of this process
     * @return the same builder
     */
    @CanIgnoreReturnValue
    public PeerEndpoint.Builder serve(PeerEndpoint.Builder endpoint) {
        return endpoint.revisions(core::revisions)
                .acceptor(Frame.BodyCase.DOCUMENTS_REQUEST, core::acceptRequest)
                .acceptor(Frame.BodyCase.SUBSCRIBE, core::acceptSubscription);
    }

    /**
     * Fetches from a peer, after a jittered delay, if its revisions are higher. Cheap; never blocks.
     *
     * @param connection the connection to the peer
     * @param revisions the revisions of the peer
     */
    public void onPeerRevisions(PeerConnection connection, Revisions revisions) {
        core.onPeerRevisions(connection, revisions);
    }

    /**
     * Fetches from a peer that has higher revisions, because a request waits for them. Never blocks. Unlike
     * {@link #onPeerRevisions}, fetches without a jittered delay.
     *
     * @param connection the connection to the peer
     * @param wanted the revisions of the peer
     * @return completes with the active revisions once they are at least the wanted ones, or after one second at the
     *     latest; already complete if this process is not behind, otherwise completed on the control thread of the
     *     follower; never completes exceptionally
     */
    public CompletionStage<Revisions> catchUp(PeerConnection connection, Revisions wanted) {
        return core.catchUp(connection, wanted);
    }

    /**
     * Adds a listener. It is called with the active configuration first, if there is one, and then on each change.
     *
     * @param listener called in order on the control thread of the follower; must not block
     */
    public void addListener(Consumer<ActiveConfiguration> listener) {
        core.addListener(listener);
    }

    @Override
    public String name() {
        return SECTION;
    }

    @Override
    public FollowerState state() {
        CompletableFuture<FollowerState> state = loop.call(core::state);
        return state.join();
    }
}
