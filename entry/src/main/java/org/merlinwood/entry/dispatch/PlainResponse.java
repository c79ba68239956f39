package org.merlinwood.entry.dispatch;

import java.util.List;
import org.merlinwood.http.HttpHeader;

/**
 * A plain service's whole answer.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 * @param replayed true where the sidecar gave a stored answer again
 */
@SuppressWarnings("ArrayRecordComponent") // a body of bytes is never compared
public record PlainResponse(int status, List<HttpHeader> headers, byte[] body, boolean replayed) {

    /** Copies the headers. */
    public PlainResponse {
        headers = List.copyOf(headers);
    }
}
