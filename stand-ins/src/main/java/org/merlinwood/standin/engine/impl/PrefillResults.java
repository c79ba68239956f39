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

/** Results of prefills: held for a short time, exported over the link. Thread-safe. */
public final class PrefillResults {

    private static final int CHUNK_BYTES = 64 * 1024;

    private final Map<String, Result> results = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer;
    private final RateLimitedLink link;
    private final long keptMillis;

    /**
     * Creates an empty store.
     *
     * @param timer evicts results
     * @param link carries exports
     * @param keptMillis how long a result is kept, in milliseconds
     */
    public PrefillResults(ScheduledExecutorService timer, RateLimitedLink link, long keptMillis) {
        this.timer = timer;
        this.link = link;
        this.keptMillis = keptMillis;
    }

    /**
     * Keeps a result.
     *
     * @param work the prefill, which holds memory until its result goes
     * @param bytes size of the KV cache
     * @return its handle
     */
    public String keep(EngineWork work, long bytes) {
        String handle = UUID.randomUUID().toString();
        results.put(handle, new Result(work, bytes, new AtomicInteger()));
        work.onEnd(() -> results.remove(handle));
        scheduleEviction(handle);
        return handle;
    }

    /**
     * Sends a KV cache.
     *
     * @param exchange the exchange
     * @param handle the handle
     * @throws InterruptedException if the engine is being closed
     */
    public void export(HttpServerExchange exchange, String handle) throws InterruptedException {
        Result result = results.get(handle);
        if (result == null) {
            StandInServer.answer(exchange, StatusCodes.NOT_FOUND, new ErrorBody("cache"));
            return;
        }
        result.exports.incrementAndGet();
        try {
            send(exchange, result);
            result.work.end(EngineRun.Outcome.EXPORTED);
        } catch (IOException exception) {
            StandInServer.cut(exchange);
        } finally {
            result.exports.decrementAndGet();
        }
    }

    private void send(HttpServerExchange exchange, Result result) throws IOException, InterruptedException {
        exchange.setResponseContentLength(result.bytes);
        byte[] chunk = new byte[CHUNK_BYTES];
        try (OutputStream output = exchange.getOutputStream()) {
            for (long left = result.bytes; left > 0; left -= CHUNK_BYTES) {
                if (result.work.isEnded()) {
                    throw new IOException("the result was cancelled");
                }
                int count = (int) Math.min(left, CHUNK_BYTES);
                link.pass(count);
                output.write(chunk, 0, count);
                output.flush();
            }
        }
    }

    private void scheduleEviction(String handle) {
        ScheduledFuture<?> unused = timer.schedule(() -> evict(handle), keptMillis, TimeUnit.MILLISECONDS);
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
