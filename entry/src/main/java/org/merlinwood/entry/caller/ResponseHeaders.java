package org.merlinwood.entry.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpHeader;

/** Builds the headers that every response contains. Stateless. */
final class ResponseHeaders {

    static final HttpHeader JSON = new HttpHeader("Content-Type", "application/json");
    static final HttpHeader EVENT_STREAM = new HttpHeader("Content-Type", "text/event-stream");
    static final HttpHeader NOT_CACHED = new HttpHeader("Cache-Control", "no-store");
    static final HttpHeader REPLAYED = new HttpHeader("Merlinwood-Replayed", "true");

    private static final String RESULT_CODE = "Merlinwood-Result-Code";
    private static final String REQUEST = "Merlinwood-Request";
    private static final String EXECUTION = "Merlinwood-Execution";
    private static final String RETRY_AFTER_MILLIS = "Merlinwood-Retry-After-Millis";
    private static final String RETRY_AFTER = "Retry-After";
    private static final long MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private ResponseHeaders() {}

    static List<HttpHeader> success(RequestIdentifier request, HttpHeader... additional) {
        List<HttpHeader> headers = new ArrayList<>(List.of(additional));
        headers.add(new HttpHeader(RESULT_CODE, Integer.toString(ResultCode.OK.number())));
        headers.add(new HttpHeader(REQUEST, request.toString()));
        return headers;
    }

    static List<HttpHeader> failure(RequestIdentifier request, Failure failure) {
        List<HttpHeader> headers = new ArrayList<>(List.of(JSON, NOT_CACHED));
        headers.add(new HttpHeader(RESULT_CODE, Integer.toString(failure.code().number())));
        headers.add(new HttpHeader(REQUEST, request.toString()));
        headers.add(new HttpHeader(EXECUTION, failure.executionState().name()));
        if (failure.retryAfterMillis() != Failure.NO_RETRY) {
            long seconds = Math.ceilDiv(failure.retryAfterMillis(), MILLIS_PER_SECOND);
            headers.add(new HttpHeader(RETRY_AFTER_MILLIS, Long.toString(failure.retryAfterMillis())));
            headers.add(new HttpHeader(RETRY_AFTER, Long.toString(seconds)));
        }
        return headers;
    }
}
