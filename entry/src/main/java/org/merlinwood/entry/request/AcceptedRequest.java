package org.merlinwood.entry.request;

import java.util.List;
import java.util.Optional;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.http.HttpHeader;

/**
 * A request as read from the caller's connection.
 *
 * @param identifier random identifier of the request
 * @param method the HTTP method, in upper case
 * @param path the path, without the query
 * @param query the query without the question mark, empty if there is none
 * @param headers the headers
 * @param body the complete body
 * @param arrivedMillis monotonic time of arrival, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are never compared
public record AcceptedRequest(
        RequestIdentifier identifier,
        String method,
        String path,
        String query,
        List<HttpHeader> headers,
        byte[] body,
        long arrivedMillis) {

    /** Header with the caller's idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** Copies the headers. */
    public AcceptedRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the caller's idempotency key.
     *
     * @return the unchecked key, or empty if there is none
     */
    public Optional<String> idempotencyKey() {
        return header(IDEMPOTENCY_KEY_HEADER).map(String::strip).filter(key -> !key.isEmpty());
    }

    /**
     * Returns the value of the first header with the given name.
     *
     * @param name the name, case-insensitive
     * @return the value, or empty if there is no such header
     */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
