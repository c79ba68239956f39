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
    private static final long REMOVAL_INTERVAL_MILLIS = 1_000;

    private final Map<StreamConnection, CallerConnection> connections = new LinkedHashMap<>();
    private final EventLoop loop;
    private final MillisClock clock;
    private final long idleTimeoutMillis;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private boolean removalScheduled;

    /**
     * Creates an empty set.
     *
     * @param loop runs the removal of closed connections
     * @param clock source of the monotonic time
     * @param idleTimeoutMillis time without a byte after which the server closes a connection, in milliseconds
     * @param log receives a line for each connection that ends with an unanswered request
     * @param metrics receives the number of open connections, and counters of unanswered ones by cause
     */
    public CallerConnections(
            EventLoop loop, MillisClock clock, long idleTimeoutMillis, DecisionLog log, MetricRegistry metrics) {
        this.loop = loop;
        this.clock = clock;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.log = log;
        this.metrics = metrics;
        metrics.gauge("caller_connections_open", () -> connections::size);
    }

    void add(StreamConnection connection) {
        connections.put(connection, new CallerConnection(connection, clock.monotonicMillis()));
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
                scheduleRemoval();
            });
        }
    }

    private void removeClosed() {
        connections.values().removeIf(connection -> {
            if (connection.isOpen()) {
                return false;
            }
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
