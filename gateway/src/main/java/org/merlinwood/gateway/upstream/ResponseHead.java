package org.merlinwood.gateway.upstream;

import java.util.List;
import java.util.Optional;
import org.merlinwood.http.HttpHeader;

/**
 * Head of an upstream's answer, decoded.
 *
 * @param status HTTP status
 * @param attempt the attempt that it answers; empty text if it does not say
 * @param signed whether the upstream vouches for the answer
 * @param notRun whether the upstream states that it has not run the request and never will
 * @param encoded whether the body has a content coding, which callers don't ask for
 * @param load load at the instance
 * @param forwardedHeaders headers that go to the caller
 */
public record ResponseHead(
        int status,
        String attempt,
        boolean signed,
        boolean notRun,
        boolean encoded,
        Optional<UpstreamLoad> load,
        List<HttpHeader> forwardedHeaders) {

    /** Copies the headers. */
    public ResponseHead {
        forwardedHeaders = List.copyOf(forwardedHeaders);
    }

    /**
     * Tells whether the upstream answered with success.
     *
     * @return true for a status from 200 to 299
     */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
