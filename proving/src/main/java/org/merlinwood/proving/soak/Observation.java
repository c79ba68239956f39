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
 * @param body the part of the body that was received
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

    long endMillis() {
        return beganMillis + elapsedMillis;
    }

    boolean answered() {
        return end == End.COMPLETE && status == 200;
    }
}
