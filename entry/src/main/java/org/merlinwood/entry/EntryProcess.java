package org.merlinwood.entry;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.entry.caller.CallerServer;
import org.merlinwood.entry.dispatch.Dispatcher;
import org.merlinwood.entry.dispatch.EntryMetrics;
import org.merlinwood.entry.filter.ClassifyFilter;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.BaseProtocolObserver;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.PeerRole;

/**
 * An entry with all components except the operator server and the source of its configuration. Created, started,
 * drained and closed once.
 */
public final class EntryProcess implements AutoCloseable {

    /**
     * Time without open requests after which a drain is complete. A connection may still deliver a request that its
     * caller sent before the last response.
     */
    private static final long QUIET_PERIOD_MILLIS = 250;

    private static final long POLL_INTERVAL_MILLIS = 10;

    private final MillisClock clock = SystemMillisClock.shared();
    private final ControlLoop control = new ControlLoop("control");
    private final PeerEndpoint endpoint;
    private final Dispatcher dispatcher;
    private final CallerServer callers;
    private final ConfigurationSource configuration;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an entry. It is inactive until it is started.
     *
     * @param settings settings of the process
     * @param callerAddress address on which the entry listens for callers
     * @param peerAddress address on which the entry listens for peers, empty to accept no peers
     * @param configuration source of inventory and rules
     * @param registry registry for the metrics
     */
    public EntryProcess(
            ProcessSettings settings,
            InetSocketAddress callerAddress,
            Optional<InetSocketAddress> peerAddress,
            ConfigurationSource configuration,
            MetricRegistry registry) {
        this.configuration = configuration;
        EntryMetrics metrics = new EntryMetrics(registry);
        this.endpoint = endpoint(settings, peerAddress);
        this.dispatcher = Dispatcher.builder(settings.instance(), settings.failureDomain())
                .endpoint(endpoint)
                .control(control)
                .clock(clock)
                .metrics(metrics)
                .revisions(this::revisions)
                .peerRevisions(configuration::onPeerRevisions)
                .keys(settings.keys())
                .build();
        this.callers = new CallerServer(
                callerAddress, configuration::current, new ClassifyFilter(settings.keys()), dispatcher, metrics, clock);
    }

    /** Starts listening for callers and peers. */
    public void start() {
        endpoint.start();
        configuration.start(endpoint);
        callers.start();
    }

    /**
     * Applies a configuration.
     *
     * @param changed the new inventory and rules
     */
    public void configure(ActiveConfiguration changed) {
        dispatcher.configure(changed);
    }

    /**
     * Stops accepting connections and waits until the open requests are complete, at most for the drain time in the
     * rules. Remaining requests then fail with {@link ResultCode#DRAINING}. Blocks; must not be called on I/O threads.
     */
    public void drain() {
        callers.drain();
        long limitMillis = configuration
                .current()
                .map(active -> active.rules().limits().drainMillis())
                .orElse(0L);
        awaitNoOpenRequests(limitMillis);
        dispatcher.giveUpAll(
                Failure.of(ResultCode.DRAINING, "the entry is shutting down and the drain time has passed"));
        awaitNoOpenRequests(QUIET_PERIOD_MILLIS);
    }

    @Override
    public void close() {
        callers.close();
        endpoint.close();
        control.close();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the address to which callers connect.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress callerAddress() {
        return callers.boundAddress();
    }

    /**
     * Returns the dispatcher, for the state dump.
     *
     * @return the dispatcher
     */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    // ------------------------------------------------------------------ internals

    private PeerEndpoint endpoint(ProcessSettings settings, Optional<InetSocketAddress> peerAddress) {
        PeerEndpoint.Builder builder = PeerEndpoint.builder()
                .identity(new PeerIdentity(settings.instance(), randomIncarnation(), PeerRole.ENTRY))
                .keys(authenticationKeys(settings.keys()))
                .revisions(this::revisions)
                .observer(new BaseProtocolObserver() {
                    @Override
                    public void onRevisions(PeerConnection connection, Revisions revisions) {
                        configuration.onPeerRevisions(connection, revisions);
                    }
                });
        configuration.serve(builder);
        peerAddress.ifPresent(builder::listenAddress);
        return builder.build();
    }

    private static List<AuthenticationKey> authenticationKeys(List<SharedKey> keys) {
        return keys.stream()
                .map(key -> new AuthenticationKey(key.identifier(), key.secretHexadecimal()))
                .toList();
    }

    private static Incarnation randomIncarnation() {
        long value = ThreadLocalRandom.current().nextLong();
        return new Incarnation(value == 0 ? 1 : value);
    }

    private Revisions revisions() {
        return configuration
                .current()
                .map(ActiveConfiguration::revisions)
                .orElseGet(() -> new Revisions(Revisions.NONE, Revisions.NONE));
    }

    /** Waits until no request has been open for {@link #QUIET_PERIOD_MILLIS}, or until the limit has passed. */
    private void awaitNoOpenRequests(long limitMillis) {
        long untilMillis = clock.monotonicMillis() + limitMillis;
        long quietSinceMillis = clock.monotonicMillis();
        while (clock.monotonicMillis() < untilMillis) {
            if (callers.openRequests() > 0) {
                quietSinceMillis = clock.monotonicMillis();
            } else if (clock.monotonicMillis() - quietSinceMillis >= QUIET_PERIOD_MILLIS) {
                return;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
        }
    }
}
