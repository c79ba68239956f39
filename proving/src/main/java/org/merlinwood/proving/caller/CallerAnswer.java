package org.merlinwood.proving.caller;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What a caller got for one request. Immutable.
 *
 * @param status HTTP status, 0 where no head came
 * @param resultCode number of the result code, from the header, the error body or the last event of a stream
 * @param execution what the answer says about execution, empty where it says nothing
 * @param replayed whether a stored answer was given again
 * @param whole whether the answer ended as the protocol demands: {@code [DONE]}, or a whole body
 * @param terminalEvents how many final events came: {@code [DONE]} or an error; for a body without events 1
 * @param text text of the completion, or the body of a plain answer
 * @param finishReason why a completion ended, empty where it didn't
 * @param retryAfterMillis when to come back, in milliseconds
 * @param firstTokenMillis from sending to the first token, in milliseconds
 * @param totalMillis from sending to the end, in milliseconds
 * @param broken what broke on the way, where something did
 */
public record CallerAnswer(
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
     * @return true if the answer is whole and has result code 0
     */
    public boolean isOk() {
        return whole && status / STATUS_CLASS == SUCCESS_CLASS && resultCode.orElse(0) == 0;
    }

    /**
     * Returns the result code for display.
     *
     * @return the number, or {@code -} where none came
     */
    public String codeText() {
        return resultCode.isPresent() ? String.valueOf(resultCode.getAsInt()) : "-";
    }
}
