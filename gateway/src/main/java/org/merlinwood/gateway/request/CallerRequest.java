package org.merlinwood.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.merlinwood.http.HttpHeader;

/**
 * One attempt of a caller, read whole. Immutable; the body must not be changed.
 *
 * @param attempt identifier that the caller gave this attempt; empty text if it gave none
 * @param method HTTP method
 * @param host host header, in lower case
 * @param target path and query as they came
 * @param path path alone
 * @param timeLeftMillis how long the caller waits, in milliseconds from the arrival
 * @param prompt what is asked of a model engine, if it is a model request
 * @param lastEvent number of the last event that the caller already has
 * @param forwardedHeaders headers that go to the upstream unchanged
 * @param body the body
 * @param arrivedMillis monotonic time of the arrival, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent") // a body of bytes is never compared
public record CallerRequest(
        String attempt,
        String method,
        String host,
        String target,
        String path,
        OptionalLong timeLeftMillis,
        Optional<Prompt> prompt,
        OptionalLong lastEvent,
        List<HttpHeader> forwardedHeaders,
        byte[] body,
        long arrivedMillis) {

    /** Copies the headers. */
    public CallerRequest {
        forwardedHeaders = List.copyOf(forwardedHeaders);
    }
}
