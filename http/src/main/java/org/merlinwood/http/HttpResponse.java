package org.merlinwood.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A complete response.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent") // responses are never compared
public record HttpResponse(int status, List<HttpHeader> headers, byte[] body) {

    /** Copies the headers. */
    public HttpResponse {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the body as text.
     *
     * @return the body, decoded as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns the value of the first header with a name.
     *
     * @param name the name, case-insensitive
     * @return its value, or empty if there is none
     */
    public Optional<String> header(String name) {
        return HttpHeader.find(headers, name);
    }
}
