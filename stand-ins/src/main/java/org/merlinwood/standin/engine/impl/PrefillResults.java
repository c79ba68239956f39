package org.merlinwood.standin.engine.impl;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.impl.ErrorBody;
import org.merlinwood.standin.impl.StandInServer;

/** Results of prefills, which are retained for a short time for export over the shared link. Thread-safe. */
public final class PrefillResults {

    private static final int CHUNK_BYTES = 64 * 1024;

    private final Map<String, Result> results = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer;
    private final RateLimitedLink link;
    private final long retentionMillis;

    /**
     * Creates an empty store.
     *
     * @param timer runs the evictions
     * @param link link that all exports share
     * @param retentionMillis how long a result is retained, in milliseconds
     */
    public PrefillResults(ScheduledExecutorService timer, RateLimitedLink link, long retentionMillis) {
        this.timer = timer;
        this.link = link;
        this.retentionMillis = retentionMillis;
    }

    /**
     * Stores the result of a prefill until it is exported, cancelled or evicted.
     *
     * @param work the prefill, whose memory stays reserved as long as the result is stored
     * @param bytes size of the KV cache, in bytes
     * @return handle for the export
     */
    public String store(EngineWork work, long bytes) {
        String handle = UUID.randomUUID().toString();
        results.put(handle, new Result(work, bytes, new AtomicInteger()));
        work.onEnd(() -> results.remove(handle));
        scheduleEviction(handle);
        return handle;
    }

    /**
     * Sends a KV cache and ends its prefill. Responds with status 404 if there is no such result.
     *
     * @param exchange the exchange of the request
     * @param handle handle of the result
     * @throws InterruptedException if the engine is being closed
     */
    public void export(HttpServerExchange exchange, String handle) throws InterruptedException {
        Result result = results.get(handle);
        if (result == null) {
            StandInServer.respond(exchange, StatusCodes.NOT_FOUND, new ErrorBody("cache"));
            return;
        }
        result.exports.incrementAndGet();
        try {
            send(exchange, result);
            result.work.end(EngineRun.Outcome.EXPORTED);
        } catch (IOException exception) {
            StandInServer.abort(exchange);
        } finally {
            result.exports.decrementAndGet();
        }
    }

    private void send(HttpServerExchange exchange, Result result) throws IOException, InterruptedException {
        exchange.setResponseContentLength(result.bytes);
        byte[] chunk = new byte[CHUNK_BYTES];
        try (OutputStream output = exchange.getOutputStream()) {
            for (long remaining = result.bytes; remaining > 0; remaining -= CHUNK_BYTES) {
                if (result.work.isEnded()) {
                    throw new IOException("the prefill ended during the export of its result");
                }
                int count = (int) Math.min(remaining, CHUNK_BYTES);
                link.transfer(count);
                output.write(chunk, 0, count);
                output.flush();
            }
        }
    }

    private void scheduleEviction(String handle) {
        ScheduledFuture<?> unused = timer.schedule(() -> evict(handle), retentionMillis, TimeUnit.MILLISECONDS);
    }

    private void evict(String handle) {
        Result result = results.get(handle);
        if (result == null) {
            return;
        }
        if (result.exports.get() > 0) {
            scheduleEviction(handle);
            return;
        }
        result.work.end(EngineRun.Outcome.EVICTED);
    }

    private record Result(EngineWork work, long bytes, AtomicInteger exports) {}
}
