package org.merlinwood.standin.engine.impl;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpStream;
import org.merlinwood.standin.engine.impl.EngineBodies.CacheReference;
import org.merlinwood.standin.network.Addresses;

/** Imports KV caches from other engines. Thread-safe. */
public final class CacheImport {

    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long READ_TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;

    /**
     * Creates an importer.
     *
     * @param client HTTP client for the transfers
     */
    public CacheImport(HttpClient client) {
        this.client = client;
    }

    /**
     * Fetches a KV cache and blocks until the transfer has ended.
     *
     * @param work the work that needs the cache; its end cancels the transfer
     * @param cache location and size of the cache
     * @return true if the complete cache was received
     * @throws InterruptedException if the engine is being closed
     */
    public boolean pull(EngineWork work, CacheReference cache) throws InterruptedException {
        HttpRequest request = new HttpRequest(
                "GET",
                Addresses.parse(cache.address()),
                "/v1/kv/" + cache.handle(),
                List.of(),
                new byte[0],
                CONNECT_TIMEOUT_MILLIS,
                READ_TIMEOUT_MILLIS,
                HttpRequest.NO_RESPONSE_TIMEOUT,
                Long.MAX_VALUE,
                ConnectionUse.FRESH);
        Receiver receiver = new Receiver(cache.bytes());
        HttpStream stream = client.send(request, receiver);
        work.onEnd(stream::cancel);
        try {
            return receiver.completion.get();
        } catch (ExecutionException exception) {
            return false;
        } finally {
            work.onEnd(() -> {});
        }
    }

    /** Counts the received bytes of one transfer. */
    private static final class Receiver implements HttpListener {

        private final CompletableFuture<Boolean> completion = new CompletableFuture<>();
        private final long expectedBytes;
        private long bytes;
        private int status;

        Receiver(long expectedBytes) {
            this.expectedBytes = expectedBytes;
        }

        @Override
        public void onHead(int responseStatus, List<HttpHeader> headers) {
            status = responseStatus;
        }

        @Override
        public void onBytes(byte[] part) {
            bytes += part.length;
        }

        @Override
        public void onEnd() {
            completion.complete(status == 200 && bytes == expectedBytes);
        }

        @Override
        public void onFailure(Failure failure) {
            completion.complete(false);
        }
    }
}
