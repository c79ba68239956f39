package org.merlinwood.proving.caller;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The outcome of one request for its caller. Immutable.
 *
 * @param request identifier that the entry gave the request, empty if no response head named one
 * @param status HTTP status, 0 if no response head was received
 * @param resultCode number of the result code, from the header, the error body or the last event of a stream
 * @param execution execution state stated in the response, empty if there is none
 * @param replayed whether the response is a replay of a stored one
 * @param whole whether the response is complete: a stream that ended with {@code [DONE]}, or a complete body
 * @param terminalEvents number of terminal events, {@code [DONE]} or an error; 1 for a body without events
 * @param text text of the completion, or body of a plain response
 * @param finishReason reason for the end of a completion, empty if none was stated
 * @param retryAfterMillis delay before a retry, in milliseconds, if the response states one
 * @param firstTokenMillis time from sending to the first token, in milliseconds; 0 if there was none
 * @param totalMillis time from sending to the end, in milliseconds
 * @param broken failure that ended the request early; empty if the response was read to its end
 */
public record CallerResponse(
        String request,
        int status,
        OptionalInt resultCode,
        String execution,
        boolean replayed,
        boolean whole,
        int terminalEvents,
        String text,
        String finishReason,
        Optional<Long> retryAfterMillis,
        long firstTokenMillis,
        long totalMillis,
        Optional<String> broken) {

    private static final int STATUS_CLASS = 100;
    private static final int SUCCESS_CLASS = 2;

    /**
     * Tells whether the request succeeded.
     *
     * @return true if the response is complete, has a 2xx status and result code 0 or none
     */
    public boolean isOk() {
        return whole && status / STATUS_CLASS == SUCCESS_CLASS && resultCode.orElse(0) == 0;
    }

    /**
     * Returns the result code for display.
     *
     * @return the number, or {@code -} if there is none
     */
    public String codeText() {
        return resultCode.isPresent() ? String.valueOf(resultCode.getAsInt()) : "-";
    }
}
