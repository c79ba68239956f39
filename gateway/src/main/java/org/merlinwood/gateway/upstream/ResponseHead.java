package org.merlinwood.gateway.upstream;

import java.util.List;
import java.util.Optional;
import org.merlinwood.http.HttpHeader;

/**
 * Decoded status and headers of an upstream response.
 *
 * @param status HTTP status
 * @param attempt identifier of the attempt that this response belongs to; empty string if absent
 * @param signed whether the response carries the signature of the upstream
 * @param notRun whether the upstream states that it has not executed the request and will not execute it
 * @param encoded whether the body has a content coding, which callers do not request
 * @param load load of the instance; empty if not reported
 * @param forwardedHeaders headers to forward to the caller
 */
public record ResponseHead(
        int status,
        String attempt,
        boolean signed,
        boolean notRun,
        boolean encoded,
        Optional<UpstreamLoad> load,
        List<HttpHeader> forwardedHeaders) {

    public ResponseHead {
        forwardedHeaders = List.copyOf(forwardedHeaders);
    }

    /**
     * Returns whether the status indicates success.
     *
     * @return true for a status from 200 to 299
     */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
