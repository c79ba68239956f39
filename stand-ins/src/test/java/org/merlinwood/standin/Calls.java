package org.merlinwood.standin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/** Calls of the tests, with generous patience. */
public final class Calls implements AutoCloseable {

    private static final int PATIENCE_SECONDS = 20;
    private static final long POLL_MILLIS = 5;

    private final HttpClient client = HttpClient.create("test", 1);

    public HttpResponse send(String method, InetSocketAddress address, String path, String body) throws Exception {
        return client.execute(call(method, address, path, body))
                .toCompletableFuture()
                .get(PATIENCE_SECONDS, TimeUnit.SECONDS)
                .get();
    }

    public HttpResponse post(InetSocketAddress address, String path, String body) throws Exception {
        return send("POST", address, path, body);
    }

    public HttpResponse get(InetSocketAddress address, String path) throws Exception {
        return send("GET", address, path, "");
    }

    public Failure fail(String method, InetSocketAddress address, String path, String body) throws Exception {
        return client.execute(call(method, address, path, body))
                .toCompletableFuture()
                .get(PATIENCE_SECONDS, TimeUnit.SECONDS)
                .getLeft();
    }

    public HttpClient client() {
        return client;
    }

    public static HttpRequest call(String method, InetSocketAddress address, String path, String body) {
        return HttpRequest.of(method, address, path, body.getBytes(StandardCharsets.UTF_8))
                .withHeaders(List.of(new HttpHeader("Idempotency-Key", "key-1")));
    }

    /** Waits until a condition holds. */
    public static void await(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("the condition did not hold in time");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
