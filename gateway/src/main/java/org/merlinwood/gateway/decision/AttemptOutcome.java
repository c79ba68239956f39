package org.merlinwood.gateway.decision;

import org.merlinwood.core.result.Failure;

/** Outcome of one attempt at an instance; input of {@link RetryPolicy}. */
public sealed interface AttemptOutcome {

    /**
     * The instance sent a complete, signed response to this attempt.
     *
     * @param status HTTP status
     */
    record Answered(int status) implements AttemptOutcome {}

    /**
     * The instance reported that it did not run the request.
     *
     * @param status HTTP status
     */
    record Declined(int status) implements AttemptOutcome {

        private static final int MISDIRECTED_REQUEST_STATUS = 421;

        /**
         * Returns whether the server is not the addressed instance, or its stage has changed.
         *
         * @return true if the instance won't accept the request later either
         */
        public boolean misdirected() {
            return status == MISDIRECTED_REQUEST_STATUS;
        }
    }

    /**
     * The request did not reach the instance.
     *
     * @param failure cause
     */
    record Unreached(Failure failure) implements AttemptOutcome {}

    /**
     * The request may have run, but no complete response was received.
     *
     * @param failure cause
     */
    record Broken(Failure failure) implements AttemptOutcome {}
}
