package org.merlinwood.sidecar.upstream;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.operation.control.ControlLoop;

/**
 * Ends streams at the engine and repeats that until the engine confirms it, as long as the process lives.
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
     * Creates a reaper that has nothing to do.
     *
     * @param loop the control thread
     * @param engine the engine
     * @param metrics counts the calls
     */
    public StreamReaper(ControlLoop loop, EngineClient engine, MetricRegistry metrics) {
        this.loop = loop;
        this.engine = engine;
        this.deletes = metrics.counter("engine.stream_deletes");
    }

    /**
     * Ends a stream. A second call for the same stream, while the first is not confirmed, replaces its callback after
     * running both.
     *
     * @param request identifier of the request, as the engine knows it
     * @param onConfirmed called once, on the control thread
     */
    public void reap(String request, Runnable onConfirmed) {
        Runnable earlier = pending.get(request);
        if (earlier != null) {
            pending.put(request, () -> {
                earlier.run();
                onConfirmed.run();
            });
            return;
        }
        pending.put(request, onConfirmed);
        delete(request, FIRST_RETRY_MILLIS);
    }

    /**
     * Tells whether a stream is being ended.
     *
     * @param request identifier of the request, as the engine knows it
     * @return true until the engine has confirmed it
     */
    public boolean isPending(String request) {
        return pending.containsKey(request);
    }

    /**
     * Returns the streams that the engine has not confirmed, for the state dump.
     *
     * @return identifiers of requests
     */
    public List<String> pending() {
        return List.copyOf(pending.keySet());
    }

    // ------------------------------------------------------------------ internals

    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    private void delete(String request, long retryMillis) {
        deletes.inc();
        engine.deleteStream(request)
                .thenAccept(result -> loop.execute(() -> result.fold(
                        failure -> {
                            logger.atFine().log("stream %s is not confirmed to have ended: %s", request, failure);
                            return retry(request, retryMillis);
                        },
                        answer -> confirmed(request))));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // nothing cancels a retry
    private boolean retry(String request, long retryMillis) {
        long next = Math.min(MAXIMUM_RETRY_MILLIS, retryMillis * 2);
        loop.schedule(retryMillis, () -> delete(request, next));
        return false;
    }

    private boolean confirmed(String request) {
        pending.remove(request).run();
        return true;
    }
}
