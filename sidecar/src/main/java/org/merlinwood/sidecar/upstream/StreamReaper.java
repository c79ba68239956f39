package org.merlinwood.sidecar.upstream;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.operation.control.ControlLoop;

/**
 * Deletes streams at the engine. A failed deletion is retried with increasing delays until the engine confirms it or
 * the process ends.
 *
 * <p>Used by the control thread only.
 */
public final class StreamReaper {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long FIRST_RETRY_MILLIS = 50;
    private static final long MAXIMUM_RETRY_MILLIS = 1_000;

    private final ControlLoop loop;
    private final EngineClient engine;
    private final Counter deletes;
    private final Map<String, Runnable> pending = new HashMap<>();

    /**
     * Creates a reaper without pending streams.
     *
     * @param loop the control loop
     * @param engine sends the deletions
     * @param metrics registry for the deletion counter
     */
    public StreamReaper(ControlLoop loop, EngineClient engine, MetricRegistry metrics) {
        this.loop = loop;
        this.engine = engine;
        this.deletes = metrics.counter("engine.stream_deletes");
    }

    /**
     * Deletes a stream. If its deletion is already pending, no second one is started, and both callbacks run once it is
     * confirmed.
     *
     * @param request identifier of the request, as the engine knows it
     * @param onConfirmed called once, on the control thread
     */
    public void reap(String request, Runnable onConfirmed) {
        Runnable previous = pending.get(request);
        if (previous != null) {
            pending.put(request, () -> {
                previous.run();
                onConfirmed.run();
            });
            return;
        }
        pending.put(request, onConfirmed);
        delete(request, FIRST_RETRY_MILLIS);
    }

    /**
     * Tells whether the deletion of a stream is pending.
     *
     * @param request identifier of the request, as the engine knows it
     * @return true from the start of the deletion until the engine has confirmed it
     */
    public boolean isPending(String request) {
        return pending.containsKey(request);
    }

    /**
     * Returns the streams whose deletion is not confirmed, for the state dump.
     *
     * @return identifiers of requests
     */
    public List<String> pending() {
        return List.copyOf(pending.keySet());
    }

    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    private void delete(String request, long retryMillis) {
        deletes.inc();
        engine.deleteStream(request)
                .thenAccept(result -> loop.execute(() -> result.fold(
                        failure -> {
                            logger.atFine().log(
                                    "the engine did not confirm the deletion of stream %s; retrying: %s",
                                    request, failure);
                            return retry(request, retryMillis);
                        },
                        response -> onConfirmed(request))));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // nothing cancels a retry
    private boolean retry(String request, long retryMillis) {
        long next = Math.min(MAXIMUM_RETRY_MILLIS, retryMillis * 2);
        loop.schedule(retryMillis, () -> delete(request, next));
        return false;
    }

    private boolean onConfirmed(String request) {
        pending.remove(request).run();
        return true;
    }
}
