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
 * Keeps a process on the highest valid revision of inventory and rules.
 *
 * <p>Built once, started once, closed once. A document is judged whole; an invalid one is rejected whole and the last
 * good one stays in force. Only a higher revision replaces the one in force. Reads are volatile and cheap; thread-safe.
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
     * @param httpClient reaches the configuration service; not closed by the follower
     * @return a new builder
     */
    public static Builder builder(ProcessSettings settings, HttpClient httpClient) {
        return new Builder(settings, httpClient);
    }

    /** Collects the configuration. Used by one thread. */
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
         * Sets the registry for the metrics. Unset: the metrics are not served.
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
         * Sets another clock than that of the machine.
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
         * Sets the seed of the jitter. Unset: drawn at random.
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
         * Builds the follower; it does nothing before it is started.
         *
         * @return the follower
         */
        public ConfigurationFollower build() {
            return new ConfigurationFollower(this);
        }
    }

    // ------------------------------------------------------------------ life-cycle

    /** Starts to follow the configuration service alone, without peers. */
    public void start() {
        core.start();
    }

    /**
     * Starts to follow the configuration service and peers.
     *
     * @param endpoint a started endpoint, built with {@link #serve}
     */
    public void start(PeerEndpoint endpoint) {
        core.start(endpoint);
    }

    /** Stops following; what is in force stays readable. */
    @Override
    public void close() {
        core.close();
        loop.close();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns what is in force. Cheap.
     *
     * @return both documents, empty before both were seen
     */
    public Optional<ActiveConfiguration> current() {
        return core.current();
    }

    /**
     * Returns the revisions in force. Cheap.
     *
     * @return the revisions, {@link Revisions#NONE} for what was not seen
     */
    public Revisions revisions() {
        return core.revisions();
    }

    /**
     * Tells whether the process may serve. Cheap.
     *
     * @return true once both documents are in force and the seed peers, if any, were asked
     */
    public boolean isReady() {
        return core.isReady();
    }

    /**
     * Lets an endpoint answer peers that ask for revisions, and tell them of the revisions in force.
     *
     * <p>The endpoint's observer has to pass on what it hears of revisions to {@link #onPeerRevisions}.
     *
     * @param endpoint builder of the process's endpoint
     * @return the builder
     */
    @CanIgnoreReturnValue
    public PeerEndpoint.Builder serve(PeerEndpoint.Builder endpoint) {
        return endpoint.revisions(core::revisions)
                .acceptor(Frame.BodyCase.DOCUMENTS_REQUEST, core::acceptRequest)
                .acceptor(Frame.BodyCase.SUBSCRIBE, core::acceptSubscription);
    }

    /**
     * Takes note of a correspondent's revisions, and catches up with it if it is ahead. Cheap; never blocks.
     *
     * @param connection the connection to the correspondent
     * @param revisions its revisions
     */
    public void onPeerRevisions(PeerConnection connection, Revisions revisions) {
        core.onPeerRevisions(connection, revisions);
    }

    /**
     * Catches up with a correspondent that is ahead, before work goes on. Never blocks; fetches at once, without the
     * spreading that {@link #onPeerRevisions} does.
     *
     * @param connection the connection to the correspondent
     * @param wanted its revisions
     * @return the revisions in force once they are as high as wanted, or after at most a second what is in force then;
     *     completed on the follower's control thread, never exceptionally
     */
    public CompletionStage<Revisions> catchUp(PeerConnection connection, Revisions wanted) {
        return core.catchUp(connection, wanted);
    }

    /**
     * Adds a listener; it hears of what is in force already at once.
     *
     * @param listener called with every later configuration, in order, on the follower's control thread; must not block
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
