package org.merlinwood.gateway.front;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpHeader;

/** Sends error responses that the entry creates itself. */
final class ErrorResponses {

    private static final double MILLIS_PER_SECOND = 1_000;

    private ErrorResponses() {}

    /**
     * Sends an error response with a JSON body.
     *
     * @param channel the channel to the caller
     * @param code the result code; determines the status
     * @param retryAfterMillis delay for the {@code Retry-After} header, in milliseconds; 0 for none. The header is sent
     *     only if the code says that the request was not run
     */
    static void send(CallerChannel channel, ResultCode code, long retryAfterMillis) {
        HttpHeader contentType = new HttpHeader("Content-Type", "application/json");
        HttpHeader retryAfter =
                new HttpHeader("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
        boolean hasRetryAfter = retryAfterMillis > 0 && code.executionState() == ExecutionState.NOT_RUN;
        String body = "{\"code\":" + code.number() + ",\"message\":\"" + code.description() + "\"}";
        channel.respond(
                code.httpStatus(),
                hasRetryAfter ? List.of(contentType, retryAfter) : List.of(contentType),
                body.getBytes(StandardCharsets.UTF_8));
    }
}
