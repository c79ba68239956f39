package org.merlinwood.proving.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;

/** HTTP client that sends requests as callers do, each on a new connection. Thread-safe until closed. */
public final class CallerClient implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long READ_TIMEOUT_MILLIS = 30_000;
    private static final int IO_THREADS = 2;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.create("caller", IO_THREADS);
    private final MillisClock clock = SystemMillisClock.shared();

    /**
     * Sends a request without waiting for the response.
     *
     * @param entry caller address of the entry
     * @param request the request
     * @return the request in progress
     */
    public RequestInProgress send(InetSocketAddress entry, CallerRequest request) {
        RequestInProgress inProgress = new RequestInProgress(clock);
        HttpRequest httpRequest = HttpRequest.of(request.method(), entry, request.path(), request.bytes())
                .withHeaders(headers(request))
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS)
                .withConnectionUse(ConnectionUse.FRESH);
        inProgress.started(client.send(httpRequest, inProgress));
        return inProgress;
    }

    /**
     * Sends a request and waits for the response.
     *
     * @param entry caller address of the entry
     * @param request the request
     * @return the response, or the failure that ended the request
     */
    public CallerResponse response(InetSocketAddress entry, CallerRequest request) {
        return await(send(entry, request));
    }

    /**
     * Waits for the response to a request.
     *
     * @param inProgress the request in progress
     * @return the response, or the failure that ended the request
     * @throws IllegalStateException if the thread is interrupted or the response cannot be read
     */
    public static CallerResponse await(RequestInProgress inProgress) {
        try {
            return inProgress.response().get();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        } catch (ExecutionException exception) {
            throw new IllegalStateException("could not read a response", exception);
        }
    }

    /**
     * Requests a minted idempotency key from an entry.
     *
     * @param entry caller address of the entry
     * @param token bearer token
     * @param service plain service that the key is for
     * @return the key
     * @throws IllegalStateException if the response contains no key
     */
    public String mintKey(InetSocketAddress entry, String token, String service) {
        String body = MAPPER.createObjectNode().put("service", service).toString();
        CallerResponse response = response(entry, CallerRequest.plain(token, "POST", "/merlinwood/keys", body));
        try {
            String key = MAPPER.readTree(response.text()).path("key").asText();
            if (key.isEmpty()) {
                throw new IllegalStateException("no key was minted: " + response);
            }
            return key;
        } catch (IOException exception) {
            throw new IllegalStateException("no key was minted: " + response, exception);
        }
    }

    @Override
    public void close() {
        client.close();
    }

    private static List<HttpHeader> headers(CallerRequest request) {
        List<HttpHeader> headers = new ArrayList<>();
        headers.add(new HttpHeader("Authorization", "Bearer " + request.token()));
        headers.add(new HttpHeader("Content-Type", "application/json"));
        request.key().ifPresent(key -> headers.add(new HttpHeader("Idempotency-Key", key)));
        request.deadlineMillis()
                .ifPresent(millis -> headers.add(new HttpHeader("Merlinwood-Deadline-Millis", String.valueOf(millis))));
        return headers;
    }
}
