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
 * An entry with all its parts but the operators' port and the source of its configuration. Built, started, drained and
 * closed once.
 */
public final class EntryProcess implements AutoCloseable {

    /** How long after the last answer a connection may still bring a request that its caller had sent already. */
    private static final long LINGER_MILLIS = 250;

    private static final long POLL_MILLIS = 10;

    private final MillisClock clock = SystemMillisClock.shared();
    private final ControlLoop control = new ControlLoop("control");
    private final PeerEndpoint endpoint;
    private final Dispatcher dispatcher;
    private final CallerServer callers;
    private final ConfigurationSource configuration;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an entry; it does nothing before it is started.
     *
     * @param settings settings of the process
     * @param callerAddress where to listen for callers
     * @param peerAddress where to listen for peers, empty for nowhere
     * @param configuration where inventory and rules come from
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

    /** Starts to listen for callers and peers. */
    public void start() {
        endpoint.start();
        configuration.start(endpoint);
        callers.start();
    }

    /**
     * Puts a configuration in force.
     *
     * @param changed inventory and rules
     */
    public void configure(ActiveConfiguration changed) {
        dispatcher.configure(changed);
    }

    /**
     * Takes no new connections and waits until what is open is answered, at most for the time that the rules give. What
     * is left then gets its final answer. Blocks; not for I/O threads.
     */
    public void drain() {
        callers.drain();
        long limitMillis = configuration
                .current()
                .map(inForce -> inForce.rules().limits().drainMillis())
                .orElse(0L);
        awaitAnswered(limitMillis);
        dispatcher.giveUpAll(Failure.of(ResultCode.DRAINING, "the entry ends, and its time to finish is over"));
        awaitAnswered(LINGER_MILLIS);
    }

    @Override
    public void close() {
        callers.close();
        endpoint.close();
        control.close();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns where callers connect.
     *
     * @return the address with its port
     */
    public InetSocketAddress callerAddress() {
        return callers.boundAddress();
    }

    /**
     * Returns the dispatcher, for the dump.
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

    /** Returns once no request has been open for a while, or the limit has passed. */
    private void awaitAnswered(long limitMillis) {
        long untilMillis = clock.monotonicMillis() + limitMillis;
        long quietSinceMillis = clock.monotonicMillis();
        while (clock.monotonicMillis() < untilMillis) {
            if (callers.openRequests() > 0) {
                quietSinceMillis = clock.monotonicMillis();
            } else if (clock.monotonicMillis() - quietSinceMillis >= LINGER_MILLIS) {
                return;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
    }
}
