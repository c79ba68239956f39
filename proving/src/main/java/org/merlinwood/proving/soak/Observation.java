package org.merlinwood.proving.soak;

import org.merlinwood.platform.standin.CallerCalls;

/**
 * One attempt as its caller observed it. Immutable.
 *
 * @param attempt identifier of the attempt
 * @param kind kind of the request
 * @param entry index of the entry that received the request, from 0
 * @param beganMillis start, in milliseconds from the start of the load
 * @param elapsedMillis duration in milliseconds
 * @param end how the attempt ended
 * @param status HTTP status, 0 if none was received
 * @param body the part of the body that was received; for a stream that was taken up again, that of both attempts
 */
record Observation(
        String attempt,
        CallerCalls.Kind kind,
        int entry,
        long beganMillis,
        long elapsedMillis,
        End end,
        int status,
        String body) {

    /** How an attempt ended for its caller. */
    enum End {
        /** The response was received completely. */
        COMPLETE,
        /** The connection failed before the end of the response. */
        BROKEN,
        /** The request was not sent because no connection could be established. */
        UNREACHED,
        /** The caller disconnected on purpose. */
        LEFT
    }

    /** Suffix of the identifier of an attempt that takes a stream up again. */
    static final String TAKEN_UP_SUFFIX = "r";

    /** Returns whether the attempt took up a stream that had been broken off. */
    boolean takenUp() {
        return attempt.endsWith(TAKEN_UP_SUFFIX);
    }

    /** Returns the identifier of the attempt that began the stream, or of this one. */
    String firstAttempt() {
        return takenUp() ? attempt.substring(0, attempt.length() - TAKEN_UP_SUFFIX.length()) : attempt;
    }

    long endMillis() {
        return beganMillis + elapsedMillis;
    }

    boolean answered() {
        return end == End.COMPLETE && status == 200;
    }
}
