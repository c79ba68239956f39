package org.merlinwood.entry.request;

import java.util.List;
import java.util.Optional;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.http.HttpHeader;

/**
 * One request as it was read whole from the caller's connection.
 *
 * @param identifier drawn at random for this request
 * @param method the HTTP method in capitals
 * @param path path without the query
 * @param query the query without its question mark, empty for none
 * @param headers the headers
 * @param body the body, whole
 * @param arrivedMillis monotonic time of arrival, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent") // a body of bytes is never compared
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
     * @return the key, not judged, or empty if there is none
     */
    public Optional<String> idempotencyKey() {
        return header(IDEMPOTENCY_KEY_HEADER).map(String::strip).filter(key -> !key.isEmpty());
    }

    /**
     * Finds the first header of a name.
     *
     * @param name the name, in any case
     * @return its value, or empty if there is none
     */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
