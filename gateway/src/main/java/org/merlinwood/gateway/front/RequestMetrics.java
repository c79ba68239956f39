package org.merlinwood.gateway.front;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.merlinwood.gateway.route.RequestKind;

/** Records counters and durations of requests. Thread-safe. */
public final class RequestMetrics {

    private final MetricRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry the registry that holds them
     */
    public RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Counts a finished request and records its duration.
     *
     * @param kind kind of the request
     * @param status HTTP status sent to the caller
     * @param durationMillis time since the arrival of the request, in milliseconds
     */
    public void recordCompletion(RequestKind kind, int status, long durationMillis) {
        registry.counter("requests_" + kind + "_status_" + status).inc();
        histogram("request_" + kind + "_milliseconds").update(durationMillis);
    }

    /**
     * Counts an event.
     *
     * @param name name of the counter, in snake case
     */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /**
     * Records a duration.
     *
     * @param name name of the histogram, in snake case
     * @param durationMillis the duration, in milliseconds
     */
    public void recordDuration(String name, long durationMillis) {
        histogram(name).update(durationMillis);
    }

    private Histogram histogram(String name) {
        return registry.histogram(name);
    }
}
