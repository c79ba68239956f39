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

/** Sends requests as callers do. Thread-safe; used until closed. */
public final class CallerClient implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long SILENCE_TIMEOUT_MILLIS = 30_000;
    private static final int IO_THREADS = 2;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.create("caller", IO_THREADS);
    private final MillisClock clock = SystemMillisClock.shared();

    /**
     * Sends a request.
     *
     * @param entry where the entry serves callers
     * @param request the request
     * @return the request under way
     */
    public RequestUnderway send(InetSocketAddress entry, CallerRequest request) {
        RequestUnderway underway = new RequestUnderway(clock);
        HttpRequest call = HttpRequest.of(request.method(), entry, request.path(), request.bytes())
                .withHeaders(headers(request))
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, SILENCE_TIMEOUT_MILLIS)
                .withConnectionUse(ConnectionUse.FRESH);
        underway.started(client.send(call, underway));
        return underway;
    }

    /**
     * Sends a request and waits for its answer.
     *
     * @param entry where the entry serves callers
     * @param request the request
     * @return what the caller got
     */
    public CallerAnswer answer(InetSocketAddress entry, CallerRequest request) {
        return await(send(entry, request));
    }

    /**
     * Waits for the answer of a request.
     *
     * @param underway the request under way
     * @return what the caller got
     */
    public static CallerAnswer await(RequestUnderway underway) {
        try {
            return underway.answer().get();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        } catch (ExecutionException exception) {
            throw new IllegalStateException("an answer failed to be read", exception);
        }
    }

    /**
     * Has a key minted.
     *
     * @param entry where the entry serves callers
     * @param token bearer token
     * @param service the plain service
     * @return the key
     * @throws IllegalStateException if the entry mints none
     */
    public String mintKey(InetSocketAddress entry, String token, String service) {
        String body = MAPPER.createObjectNode().put("service", service).toString();
        CallerAnswer answer = answer(entry, CallerRequest.plain(token, "POST", "/merlinwood/keys", body));
        try {
            String key = MAPPER.readTree(answer.text()).path("key").asText();
            if (key.isEmpty()) {
                throw new IllegalStateException("no key was minted: " + answer);
            }
            return key;
        } catch (IOException exception) {
            throw new IllegalStateException("no key was minted: " + answer, exception);
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
