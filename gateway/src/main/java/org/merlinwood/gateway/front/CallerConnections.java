package org.merlinwood.gateway.front;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.http.HeldBytes;
import org.merlinwood.operation.log.DecisionLog;
import org.xnio.StreamConnection;

/**
 * The open connections of callers. Records each one that this entry ends with a request, or a part of one, that has no
 * response. Confined to the event loop.
 */
public final class CallerConnections {

    /** Why this entry ends a connection. */
    public enum EndCause {
        /** The connection is closed behind its last response. */
        DRAIN,
        /** Nothing was received for the idle timeout. */
        IDLE_TIMEOUT,
        /** The process ends. */
        EXIT
    }

    /** Interval at which connections that have been closed are removed, in milliseconds. */
    private static final long REMOVAL_INTERVAL_MILLIS = 100;

    /** Share of the maximum number of connections from which on unused ones are closed. */
    private static final double CROWDED_SHARE = 0.8;

    /** Time without a byte after which a new connection may be closed if there are many, in milliseconds. */
    private static final long CROWDED_UNUSED_MILLIS = 3_000;

    /** Time without a request after which a used connection may be closed if there are many, in milliseconds. */
    private static final long CROWDED_IDLE_MILLIS = 15_000;

    /** Part of the limit of held bytes that is freed at a time while requests wait. */
    private static final int RELIEF_PART = 8;

    private final Map<StreamConnection, CallerConnection> connections = new LinkedHashMap<>();
    private final EventLoop loop;
    private final MillisClock clock;
    private final long idleTimeoutMillis;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final ClientLimits limits;
    private final ClientFaults faults;
    private final int maximumCount;
    private boolean removalScheduled;

    /**
     * Creates an empty set.
     *
     * @param loop runs the removal of closed connections
     * @param clock source of the monotonic time
     * @param idleTimeoutMillis time without a byte after which the server closes a connection, in milliseconds
     * @param log receives a line for each connection that ends with an unanswered request
     * @param metrics receives the number of open connections, and counters of unanswered ones by cause
     * @param limits what callers may make the entry hold
     * @param maximumCount number of connections that are accepted, at least 1
     */
    public CallerConnections(
            EventLoop loop,
            MillisClock clock,
            long idleTimeoutMillis,
            DecisionLog log,
            MetricRegistry metrics,
            ClientLimits limits,
            int maximumCount) {
        this.loop = loop;
        this.clock = clock;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.log = log;
        this.metrics = metrics;
        this.limits = limits;
        this.maximumCount = maximumCount;
        this.faults = new ClientFaults(clock, log, metrics);
        metrics.gauge("caller_connections_open", () -> connections::size);
        metrics.gauge("caller_connections_maximum", () -> () -> maximumCount);
        metrics.gauge("held_bytes", () -> limits.heldBytes()::heldBytes);
        metrics.gauge("held_bytes_limit", () -> limits.heldBytes()::limitBytes);
        metrics.gauge("requests_waiting_for_room", () -> limits.heldBytes()::waitingCount);
    }

    void add(StreamConnection connection) {
        connections.put(connection, new CallerConnection(connection, clock, limits, faults, loop));
        scheduleRemoval();
    }

    Optional<CallerConnection> find(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection connection
                ? Optional.ofNullable(connections.get(connection.getChannel()))
                : Optional.empty();
    }

    void completeRequest(HttpServerExchange exchange) {
        find(exchange).ifPresent(connection -> {
            connection.completeRequest(exchange, clock.monotonicMillis());
            if (!exchange.isPersistent()) {
                recordIfUnanswered(connection, EndCause.DRAIN);
            }
        });
    }

    /** Lets each connection without a request read what lies unread in it, within the present turn of the loop. */
    void readUnread() {
        removeClosed();
        connections.values().stream()
                .filter(connection -> !connection.state().unanswered())
                .forEach(CallerConnection::readUnread);
    }

    /** Closes the connections that are idle, and those that have been unused for so many milliseconds. */
    void closeIdle(long unusedMillis) {
        long nowMillis = clock.monotonicMillis();
        connections.values().stream()
                .filter(connection -> mayClose(connection, nowMillis, unusedMillis))
                .forEach(CallerConnection::close);
        removeClosed();
    }

    private static boolean mayClose(CallerConnection connection, long nowMillis, long unusedMillis) {
        return switch (connection.state()) {
            case IDLE -> true;
            case UNUSED -> connection.unchangedMillis(nowMillis) >= unusedMillis;
            case PARTIAL_HEAD, PARTIAL_BODY, REFUSED, PROCESSING -> false;
        };
    }

    int countOpen() {
        removeClosed();
        return connections.size();
    }

    /** Records every connection that has an unanswered request as ended by the exit. */
    void recordExit() {
        removeClosed();
        connections.values().forEach(connection -> recordIfUnanswered(connection, EndCause.EXIT));
    }

    /** Returns the number of open connections on which no request, or part of one, is unanswered. */
    int countWithoutRequest() {
        removeClosed();
        return (int) connections.values().stream()
                .filter(connection -> !connection.state().unanswered())
                .count();
    }

    private void scheduleRemoval() {
        if (!removalScheduled && !connections.isEmpty()) {
            removalScheduled = true;
            loop.schedule(REMOVAL_INTERVAL_MILLIS, () -> {
                removalScheduled = false;
                removeClosed();
                long nowMillis = clock.monotonicMillis();
                connections.values().forEach(connection -> connection.applyTimeouts(nowMillis));
                relieve();
                closeUnusedIfCrowded(nowMillis);
                scheduleRemoval();
            });
        }
    }

    /** Returns the number of connections that are accepted. */
    int maximumCount() {
        return maximumCount;
    }

    /** Frees some room while requests wait for it. */
    private void relieve() {
        HeldBytes held = limits.heldBytes();
        long targetBytes = held.heldBytes() - held.limitBytes() / RELIEF_PART;
        while (held.waitingCount() > 0 && held.heldBytes() > targetBytes) {
            if (!held.evictStalled() && !held.evictWaiting(ClientLimits.MAXIMUM_WAIT_MILLIS)) {
                return;
            }
        }
    }

    private void closeUnusedIfCrowded(long nowMillis) {
        if (connections.size() < CROWDED_SHARE * maximumCount) {
            return;
        }
        connections.values().stream()
                .filter(connection -> isUnused(connection, nowMillis))
                .forEach(connection -> {
                    faults.record(
                            ClientFaults.Kind.CONNECTION_UNUSED,
                            limits.heldBytes().heldBytes());
                    connection.close();
                });
        removeClosed();
    }

    private static boolean isUnused(CallerConnection connection, long nowMillis) {
        return switch (connection.state()) {
            case UNUSED -> connection.unchangedMillis(nowMillis) >= CROWDED_UNUSED_MILLIS;
            case IDLE -> connection.unchangedMillis(nowMillis) >= CROWDED_IDLE_MILLIS;
            case PARTIAL_HEAD -> connection.headMillis(nowMillis) >= CROWDED_UNUSED_MILLIS;
            case PARTIAL_BODY, REFUSED, PROCESSING -> false;
        };
    }

    private void removeClosed() {
        connections.values().removeIf(connection -> {
            if (connection.isOpen()) {
                return false;
            }
            connection.release();
            if (connection.unchangedMillis(clock.monotonicMillis()) >= idleTimeoutMillis) {
                recordIfUnanswered(connection, EndCause.IDLE_TIMEOUT);
            }
            return true;
        });
    }

    private void recordIfUnanswered(CallerConnection connection, EndCause cause) {
        CallerConnection.State state = connection.state();
        if (!state.unanswered()) {
            return;
        }
        metrics.counter("connections_unanswered_" + cause.name().toLowerCase(Locale.ROOT))
                .inc();
        log.line("connection ended unanswered")
                .with("cause", cause.name())
                .with("state", state.name())
                .with("receivedBytes", connection.receivedBytes())
                .with("unchangedMillis", connection.unchangedMillis(clock.monotonicMillis()))
                .write();
    }
}
