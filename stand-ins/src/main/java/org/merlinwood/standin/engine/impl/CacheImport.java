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

/** Pulls KV caches from other engines. Thread-safe. */
public final class CacheImport {

    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long SILENCE_TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;

    /**
     * Creates an importer.
     *
     * @param client sends the calls
     */
    public CacheImport(HttpClient client) {
        this.client = client;
    }

    /**
     * Pulls a KV cache and waits for it.
     *
     * @param work whose end stops the transfer
     * @param cache where it is held
     * @return true if all of it arrived
     * @throws InterruptedException if the engine is being closed
     */
    public boolean pull(EngineWork work, CacheReference cache) throws InterruptedException {
        HttpRequest call = new HttpRequest(
                "GET",
                Addresses.parse(cache.address()),
                "/v1/kv/" + cache.handle(),
                List.of(),
                new byte[0],
                CONNECT_TIMEOUT_MILLIS,
                SILENCE_TIMEOUT_MILLIS,
                Long.MAX_VALUE,
                ConnectionUse.FRESH);
        Receiver receiver = new Receiver(cache.bytes());
        HttpStream stream = client.send(call, receiver);
        work.onEnd(stream::cancel);
        try {
            return receiver.whole.get();
        } catch (ExecutionException exception) {
            return false;
        } finally {
            work.onEnd(() -> {});
        }
    }

    /** Counts the bytes of one transfer. */
    private static final class Receiver implements HttpListener {

        private final CompletableFuture<Boolean> whole = new CompletableFuture<>();
        private final long expectedBytes;
        private long bytes;
        private int status;

        Receiver(long expectedBytes) {
            this.expectedBytes = expectedBytes;
        }

        @Override
        public void onHead(int answerStatus, List<HttpHeader> headers) {
            status = answerStatus;
        }

        @Override
        public void onBytes(byte[] part) {
            bytes += part.length;
        }

        @Override
        public void onEnd() {
            whole.complete(status == 200 && bytes == expectedBytes);
        }

        @Override
        public void onFailure(Failure failure) {
            whole.complete(false);
        }
    }
}
