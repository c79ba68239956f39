package org.merlinwood.gateway.front;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.merlinwood.gateway.route.RequestKind;

/** Counters and times of requests, by kind. Thread-safe. */
public final class RequestMetrics {

    private final MetricRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry where they are kept
     */
    public RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Counts the end of a request.
     *
     * @param kind its kind
     * @param status HTTP status that the caller got
     * @param tookMillis time since its arrival, in milliseconds
     */
    public void ended(RequestKind kind, int status, long tookMillis) {
        registry.counter("requests_" + kind + "_status_" + status).inc();
        times("request_" + kind + "_milliseconds").update(tookMillis);
    }

    /**
     * Counts an event.
     *
     * @param name what happened, in snake case
     */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /**
     * Notes a time.
     *
     * @param name what took it, in snake case
     * @param millis milliseconds
     */
    public void recordDuration(String name, long millis) {
        times(name).update(millis);
    }

    private Histogram times(String name) {
        return registry.histogram(name);
    }
}
