package org.merlinwood.entry.dispatch;

import java.util.List;
import org.merlinwood.http.HttpHeader;

/**
 * Complete response of a plain service.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 * @param replayed whether the sidecar replayed a stored response
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are never compared
public record PlainResponse(int status, List<HttpHeader> headers, byte[] body, boolean replayed) {

    /** Copies the headers. */
    public PlainResponse {
        headers = List.copyOf(headers);
    }
}
