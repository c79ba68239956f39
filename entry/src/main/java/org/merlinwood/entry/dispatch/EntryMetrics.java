package org.merlinwood.entry.dispatch;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.merlinwood.core.result.ResultCode;

/** What an entry counts and times. Thread-safe. */
public final class EntryMetrics {

    private final MetricRegistry registry;
    private final Map<ResultCode, Meter> requests = new EnumMap<>(ResultCode.class);
    private final Timer firstToken;
    private final Timer betweenTokens;
    private final Meter droppedFrames;
    private final Meter retries;
    private final Meter silentConnections;

    /**
     * Registers the metrics.
     *
     * @param registry registry of the process
     */
    public EntryMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.firstToken = registry.timer("entry.first_token");
        this.betweenTokens = registry.timer("entry.between_tokens");
        this.droppedFrames = registry.meter("entry.dropped_frames");
        this.retries = registry.meter("entry.retries");
        this.silentConnections = registry.meter("entry.silent_connections");
        for (ResultCode code : ResultCode.values()) {
            requests.put(code, registry.meter("entry.requests." + code.name()));
        }
    }

    /**
     * Registers a gauge.
     *
     * @param name name of the gauge
     * @param value returns its value; called by the operators' port
     */
    public void gauge(String name, IntSupplier value) {
        Gauge<Integer> gauge = value::getAsInt;
        registry.gauge("entry." + name, () -> gauge);
    }

    /**
     * Counts a request that ended.
     *
     * @param code its result code
     */
    public void ended(ResultCode code) {
        requests.get(code).mark();
    }

    /**
     * Times the first token of an answer.
     *
     * @param millis since the request arrived, in milliseconds
     */
    public void firstToken(long millis) {
        firstToken.update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Times the gap between two parts of an answer.
     *
     * @param millis since the part before, in milliseconds
     */
    public void betweenTokens(long millis) {
        betweenTokens.update(millis, TimeUnit.MILLISECONDS);
    }

    /** Counts a frame that did not belong to the current attempt. */
    public void droppedFrame() {
        droppedFrames.mark();
    }

    /** Counts a repeated attempt. */
    public void retry() {
        retries.mark();
    }

    /** Counts a connection that was closed since it did not answer. */
    public void silentConnection() {
        silentConnections.mark();
    }
}
