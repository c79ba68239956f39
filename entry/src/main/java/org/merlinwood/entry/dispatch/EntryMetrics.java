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

/** Metrics of an entry. Thread-safe. */
public final class EntryMetrics {

    private final MetricRegistry registry;
    private final Map<ResultCode, Meter> requests = new EnumMap<>(ResultCode.class);
    private final Timer firstToken;
    private final Timer betweenTokens;
    private final Meter droppedFrames;
    private final Meter retries;
    private final Meter unansweredGrantRequests;

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
        this.unansweredGrantRequests = registry.meter("entry.unanswered_grant_requests");
        for (ResultCode code : ResultCode.values()) {
            requests.put(code, registry.meter("entry.requests." + code.name()));
        }
    }

    /**
     * Registers a gauge.
     *
     * @param name name of the gauge, without the prefix {@code entry.}
     * @param value returns the current value; called by the operator server, must be thread-safe
     */
    public void gauge(String name, IntSupplier value) {
        Gauge<Integer> gauge = value::getAsInt;
        registry.gauge("entry." + name, () -> gauge);
    }

    /**
     * Counts a completed request.
     *
     * @param code result code of the request
     */
    public void requestEnded(ResultCode code) {
        requests.get(code).mark();
    }

    /**
     * Records the time to the first token of a response.
     *
     * @param millis time since the request arrived, in milliseconds
     */
    public void firstToken(long millis) {
        firstToken.update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Records the time between two parts of a response.
     *
     * @param millis time since the previous part, in milliseconds
     */
    public void betweenTokens(long millis) {
        betweenTokens.update(millis, TimeUnit.MILLISECONDS);
    }

    /** Counts a dropped frame that did not belong to the current attempt. */
    public void droppedFrame() {
        droppedFrames.mark();
    }

    /** Counts a retry. */
    public void retry() {
        retries.mark();
    }

    /** Counts a grant request that got no response in time. */
    public void unansweredGrantRequest() {
        unansweredGrantRequests.mark();
    }
}
