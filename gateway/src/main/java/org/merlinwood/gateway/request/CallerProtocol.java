package org.merlinwood.gateway.request;

import java.util.List;
import org.merlinwood.http.HttpHeader;

/** How callers write their requests. Implementations hold no state; they are thread-safe. */
public interface CallerProtocol {

    /**
     * Reads a request.
     *
     * @param method HTTP method
     * @param target path and query as they came
     * @param headers all headers
     * @param body the whole body
     * @param arrivedMillis monotonic time of its arrival, in milliseconds
     * @return the request
     */
    CallerRequest read(String method, String target, List<HttpHeader> headers, byte[] body, long arrivedMillis);
}
