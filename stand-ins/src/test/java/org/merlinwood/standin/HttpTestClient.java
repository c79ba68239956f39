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

/** Blocking HTTP client of the tests, with timeouts that allow for slow machines. */
public final class HttpTestClient implements AutoCloseable {

    private static final int TIMEOUT_SECONDS = 20;
    private static final long POLL_MILLIS = 5;

    private final HttpClient httpClient = HttpClient.create("test", 1);

    public HttpResponse send(String method, InetSocketAddress address, String path, String body) throws Exception {
        return httpClient
                .execute(request(method, address, path, body))
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .get();
    }

    public HttpResponse post(InetSocketAddress address, String path, String body) throws Exception {
        return send("POST", address, path, body);
    }

    public HttpResponse get(InetSocketAddress address, String path) throws Exception {
        return send("GET", address, path, "");
    }

    public Failure sendExpectingFailure(String method, InetSocketAddress address, String path, String body)
            throws Exception {
        return httpClient
                .execute(request(method, address, path, body))
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .getLeft();
    }

    public HttpClient httpClient() {
        return httpClient;
    }

    public static HttpRequest request(String method, InetSocketAddress address, String path, String body) {
        return HttpRequest.of(method, address, path, body.getBytes(StandardCharsets.UTF_8))
                .withHeaders(List.of(new HttpHeader("Idempotency-Key", "key-1")));
    }

    /** Polls until the condition is met; fails after the timeout. */
    public static void await(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("the condition was not met before the timeout");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        httpClient.close();
    }
}
