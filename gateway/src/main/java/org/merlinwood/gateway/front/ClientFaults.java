package org.merlinwood.gateway.front;

import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Counts the connections and requests that are ended because of what their clients send or don't read, and logs them:
 * one line for each kind in each interval, however many there are. Confined to the event loop.
 */
public final class ClientFaults {

    /** Why a connection or a request is ended. */
    enum Kind {
        /** The head is over its limit. */
        HEAD_TOO_LARGE,
        /** The head did not arrive whole in its time. */
        HEAD_TOO_LATE,
        /** Chunk sizes, extensions or trailers without end. */
        OVERHEAD_TOO_LARGE,
        /** No byte of an incomplete body for its time. */
        BODY_STALLED,
        /** A request was refused for lack of room, before or while its body was read. */
        NO_ROOM,
        /** No byte of a response was taken for its time. */
        RESPONSE_UNREAD,
        /** A response found no room while its caller did not read. */
        RESPONSE_WITHOUT_ROOM,
        /** The connection was not used while others waited to be accepted. */
        CONNECTION_UNUSED
    }

    /** Interval in which one line is logged for each kind, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 5_000;

    private final Map<Kind, Long> loggedMillis = new EnumMap<>(Kind.class);
    private final Map<Kind, Long> unlogged = new EnumMap<>(Kind.class);
    private final MillisClock clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;

    /**
     * Creates counters that start at 0.
     *
     * @param clock measures the interval between two lines
     * @param log receives the lines
     * @param metrics receives a counter for each kind
     */
    public ClientFaults(MillisClock clock, DecisionLog log, MetricRegistry metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    void record(Kind kind, long heldBytes) {
        metrics.counter("client_faults_" + kind.name().toLowerCase(Locale.ROOT)).inc();
        long nowMillis = clock.monotonicMillis();
        long count = unlogged.merge(kind, 1L, Long::sum);
        Long lastMillis = loggedMillis.get(kind);
        if (lastMillis != null && nowMillis - lastMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        loggedMillis.put(kind, nowMillis);
        unlogged.remove(kind);
        log.line("client limited")
                .with("kind", kind.name())
                .with("count", count)
                .with("heldBytes", heldBytes)
                .write();
    }
}
