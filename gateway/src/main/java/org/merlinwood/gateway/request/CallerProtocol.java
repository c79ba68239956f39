package org.merlinwood.gateway.request;

import java.util.List;
import org.merlinwood.http.HttpHeader;

/** Decodes the HTTP requests of callers. Implementations are stateless and thread-safe. */
public interface CallerProtocol {

    /**
     * Decodes a request.
     *
     * @param method HTTP method
     * @param target path and query as received
     * @param headers all headers
     * @param body the complete body
     * @param arrivedMillis monotonic time at which the request arrived, in milliseconds
     * @return the decoded request
     */
    CallerRequest read(String method, String target, List<HttpHeader> headers, byte[] body, long arrivedMillis);
}
