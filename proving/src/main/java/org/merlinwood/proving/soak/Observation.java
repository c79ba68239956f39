package org.merlinwood.proving.soak;

import org.merlinwood.platform.standin.CallerCalls;

/**
 * What one caller saw of one attempt.
 *
 * @param attempt identifier of the attempt
 * @param kind what was asked
 * @param entry index of the entry that was asked, from 0
 * @param beganMillis when, in milliseconds from the start of the load
 * @param elapsedMillis until its end, in milliseconds
 * @param end how it ended
 * @param status HTTP status, 0 without one
 * @param body all that came of the body
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
        /** An answer came to its end. */
        COMPLETE,
        /** The connection failed before the end. */
        BROKEN,
        /** No connection was made. */
        UNREACHED,
        /** The caller left on purpose. */
        LEFT
    }

    long endMillis() {
        return beganMillis + elapsedMillis;
    }

    boolean answered() {
        return end == End.COMPLETE && status == 200;
    }
}
